package model

import "net/netip"

// Role says what a member of the platform's list does.
type Role string

// The roles on the platform's list.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// MemberState is what the platform's list says of a member.
type MemberState string

// The states on the platform's list.
const (
	StateLive    MemberState = "live"
	StateLeaving MemberState = "leaving"
)

// Member is one line of the platform's list of instances and targets. The list
// lags behind reality.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is the name that routes use for a plain service's targets.
	Service string `json:"service,omitempty"`
	Zone    ZoneID `json:"data-centre"`
	// Addr is where a target takes requests, or where an instance takes calls
	// from its peers.
	Addr netip.AddrPort `json:"address"`
	// OperatorAddr is where an instance takes operators' requests.
	OperatorAddr netip.AddrPort `json:"operators,omitzero"`
	State        MemberState    `json:"state"`
}

// Members is the platform's list.
type Members []Member

// Validate returns every fault of the member at once.
func (m Member) Validate() error {
	var errs FieldErrors
	if !ValidName(m.ID) {
		errs.Add("id", "%q is not a valid name", truncate(m.ID))
	}
	if !ValidName(string(m.Zone)) {
		errs.Add("data-centre", "%q is not a valid name", truncate(string(m.Zone)))
	}
	if m.Role != RoleEntry && m.Role != RoleEngine && m.Role != RoleService {
		errs.Add("role", "%q is not one of entry, engine, service", truncate(string(m.Role)))
	}
	if m.Role == RoleService && !ValidName(m.Service) {
		errs.Add("service", "%q is not a valid name", truncate(m.Service))
	}
	if !m.Addr.IsValid() {
		errs.Add("address", "is missing")
	}
	if m.State != StateLive && m.State != StateLeaving {
		errs.Add("state", "%q is not one of live, leaving", truncate(string(m.State)))
	}
	return errs.Err()
}

package model

import "net/netip"

// Role is the role of a member in the platform's member list.
type Role string

// The roles in the platform's member list: instances, model engines and plain
// services.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// MemberState is the state of a member according to the platform's member list.
type MemberState string

// The states in the platform's member list.
const (
	StateLive    MemberState = "live"
	StateLeaving MemberState = "leaving"
)

// Member is one entry in the platform's list of instances and targets. The list
// may be out of date.
type Member struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	// Service is the name by which routes refer to the targets of a plain service.
	Service string `json:"service,omitempty"`
	Zone    ZoneID `json:"data-centre"`
	// Addr is the address on which a target accepts requests, or an instance
	// accepts calls from its peers.
	Addr netip.AddrPort `json:"address"`
	// OperatorAddr is the address on which an instance accepts operators' requests.
	OperatorAddr netip.AddrPort `json:"operators,omitzero"`
	State        MemberState    `json:"state"`
}

// Members is the platform's list of instances and targets.
type Members []Member

// Validate checks all fields and returns every error found, as FieldErrors.
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

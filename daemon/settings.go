package daemon

import (
	"fmt"
	"net/netip"
	"time"

	"currantstile/model"
)

// QuotaMode selects how this instance's share of the contracts is determined.
type QuotaMode string

// The quota modes.
const (
	// QuotaLend assigns each instance a share by the share table in the store, and
	// lets instances lend weight to one another.
	QuotaLend QuotaMode = "lend"
	// QuotaSplit gives each listed instance an equal, fixed share. It is a baseline
	// for measurements.
	QuotaSplit QuotaMode = "split"
	// QuotaLocal lets each instance admit the full contract, so that the limits are
	// correct only with a single instance. It is a baseline for measurements.
	QuotaLocal QuotaMode = "local"
)

// Settings holds the settings of an instance from its flags and environment.
type Settings struct {
	ID   model.InstanceID
	Zone model.ZoneID
	// CallersAddr, OperatorsAddr and PeersAddr are the addresses that the instance
	// listens on.
	CallersAddr   netip.AddrPort
	OperatorsAddr netip.AddrPort
	PeersAddr     netip.AddrPort
	// PeersAdvertised is the address at which other instances reach PeersAddr, as in
	// the platform's member list; PeersAddr by default.
	PeersAdvertised netip.AddrPort
	// StoreAddr and MembersAddr are the addresses of the platform's key-value service
	// and of its member list.
	StoreAddr   netip.AddrPort
	MembersAddr netip.AddrPort
	Quota       QuotaMode
	// OperatorToken is the bearer token of operators; if empty, anyone who can reach
	// OperatorsAddr has access.
	OperatorToken string
	// FleetSecret is the shared secret with which instances authenticate to one
	// another before any call; if empty, anyone who can reach PeersAddr may call.
	FleetSecret string
	// IsolationLimit is how long an instance that reaches neither the store nor any
	// other instance continues to admit requests.
	IsolationLimit time.Duration
	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout bounds how long a shutdown waits for running requests.
	ShutdownTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultIsolationLimit  = 10 * time.Second
	DefaultMaxBodyBytes    = 4 << 20
	DefaultMemoryBytes     = 1 << 30
	DefaultWriteTimeout    = 10 * time.Second
	DefaultShutdownTimeout = 90 * time.Second
)

// SetDefaults sets the fields that are zero and have a default.
func (s *Settings) SetDefaults() {
	if s.Quota == "" {
		s.Quota = QuotaLend
	}
	if s.IsolationLimit == 0 {
		s.IsolationLimit = DefaultIsolationLimit
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.MemoryBytes == 0 {
		s.MemoryBytes = DefaultMemoryBytes
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = DefaultWriteTimeout
	}
	if s.ShutdownTimeout == 0 {
		s.ShutdownTimeout = DefaultShutdownTimeout
	}
}

// Validate returns all errors of the settings together, each under the name of its
// flag.
func (s Settings) Validate() error {
	var errs model.FieldErrors
	if !model.ValidName(string(s.ID)) {
		errs.Add("id", "%q is not a valid name", string(s.ID))
	}
	if !model.ValidName(string(s.Zone)) {
		errs.Add("data-centre", "%q is not a valid name", string(s.Zone))
	}
	s.validateAddrs(&errs)
	if s.Quota != QuotaLend && s.Quota != QuotaSplit && s.Quota != QuotaLocal {
		errs.Add("quota", "%q is not one of lend, split, local", string(s.Quota))
	}
	if s.IsolationLimit <= 0 {
		errs.Add("alone-limit", "must be above 0s, is %s", s.IsolationLimit)
	}
	if s.MaxBodyBytes < 1 {
		errs.Add("max-body", "must be above 0, is %d", s.MaxBodyBytes)
	}
	if s.MemoryBytes <= 0 {
		errs.Add("memory", "must be above 0, is %d", s.MemoryBytes)
	}
	if s.WriteTimeout <= 0 {
		errs.Add("write-timeout", "must be above 0s, is %s", s.WriteTimeout)
	}
	if s.ShutdownTimeout <= 0 {
		errs.Add("shutdown-timeout", "must be above 0s, is %s", s.ShutdownTimeout)
	}
	return errs.Err()
}

func (s Settings) validateAddrs(errs *model.FieldErrors) {
	addrs := []struct {
		name string
		addr netip.AddrPort
	}{
		{
			name: "callers",
			addr: s.CallersAddr,
		},
		{
			name: "operators",
			addr: s.OperatorsAddr,
		},
		{
			name: "peers",
			addr: s.PeersAddr,
		},
		{
			name: "store",
			addr: s.StoreAddr,
		},
		{
			name: "members",
			addr: s.MembersAddr,
		},
	}
	seen := make(map[netip.AddrPort]string, len(addrs))
	for _, a := range addrs {
		if !a.addr.IsValid() {
			errs.Add(a.name, "needs an IP address with a port, such as 127.0.0.1:8080")
			continue
		}
		if other, ok := seen[a.addr]; ok && a.addr.Port() != 0 {
			errs.Add(a.name, "is the same address as %s", other)
		}
		seen[a.addr] = a.name
	}
}

// String returns the instance and its data centre, for logs.
func (s Settings) String() string {
	return fmt.Sprintf("%s in %s", s.ID, s.Zone)
}

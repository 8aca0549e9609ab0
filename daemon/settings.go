package daemon

import (
	"fmt"
	"net/netip"
	"time"

	"currantstile/model"
)

// QuotaMode says how this instance's share of the contracts is found.
type QuotaMode string

// The quota modes.
const (
	// QuotaLend gives each instance a part by the table in the store, and lets
	// instances lend to one another.
	QuotaLend QuotaMode = "lend"
	// QuotaSplit gives each instance on the list an equal, fixed share. It is a
	// baseline for measurements.
	QuotaSplit QuotaMode = "split"
	// QuotaLocal gives each instance the whole contract, which limits an
	// organisation only where there is one instance. It is the baseline for
	// measurements.
	QuotaLocal QuotaMode = "local"
)

// Settings are what an instance learns from its flags and environment.
type Settings struct {
	ID   model.InstanceID
	Zone model.ZoneID
	// CallersAddr, Operators and Peers are where the instance listens.
	CallersAddr   netip.AddrPort
	OperatorsAddr netip.AddrPort
	PeersAddr     netip.AddrPort
	// PeersAdvertised is where other instances reach Peers, as the platform's
	// list has it; Peers itself by default.
	PeersAdvertised netip.AddrPort
	// StoreAddr and Members are the platform's key-value service and its list of
	// instances.
	StoreAddr   netip.AddrPort
	MembersAddr netip.AddrPort
	Quota       QuotaMode
	// OperatorToken is what operators present; empty lets anybody in who reaches
	// the operators' address.
	OperatorToken string
	// FleetSecret is what instances prove to one another before any call; empty
	// lets anybody in who reaches the peers' address.
	FleetSecret string
	// IsolationLimit is how long an instance that reaches neither the store nor any
	// other instance goes on admitting requests.
	IsolationLimit time.Duration
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes int
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// ShutdownTimeout bounds how long a shutdown waits for running requests.
	ShutdownTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultIsolationLimit  = 10 * time.Second
	DefaultMaxBodyBytes    = 4 << 20
	DefaultWriteTimeout    = 10 * time.Second
	DefaultShutdownTimeout = 90 * time.Second
)

// SetDefaults fills the fields that were left out.
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
	if s.WriteTimeout == 0 {
		s.WriteTimeout = DefaultWriteTimeout
	}
	if s.ShutdownTimeout == 0 {
		s.ShutdownTimeout = DefaultShutdownTimeout
	}
}

// Validate returns every fault of the settings at once, each under the name of
// its flag.
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
	if s.WriteTimeout <= 0 {
		errs.Add("write-timeout", "must be above 0s, is %s", s.WriteTimeout)
	}
	if s.ShutdownTimeout <= 0 {
		errs.Add("shutdown-timeout", "must be above 0s, is %s", s.ShutdownTimeout)
	}
	return errs.Err()
}

func (s Settings) validateAddrs(errs *model.FieldErrors) {
	listen := []struct {
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
	seen := make(map[netip.AddrPort]string, len(listen))
	for _, l := range listen {
		if !l.addr.IsValid() {
			errs.Add(l.name, "needs an IP address with a port, such as 127.0.0.1:8080")
			continue
		}
		if other, ok := seen[l.addr]; ok && l.addr.Port() != 0 {
			errs.Add(l.name, "is the same address as %s", other)
		}
		seen[l.addr] = l.name
	}
}

// String names the instance for logs.
func (s Settings) String() string {
	return fmt.Sprintf("%s in %s", s.ID, s.Zone)
}

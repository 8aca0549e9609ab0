package node

import (
	"net/netip"
	"time"

	"currantstile/model"
)

// Settings are what an instance learns before it starts.
type Settings struct {
	// Name is the instance's name, and Zone its data centre.
	Name string
	Zone string
	// Callers takes callers' requests, Readiness answers whether new ones should
	// come, Peers takes calls of other instances, and Metrics serves figures.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	Metrics   netip.AddrPort
	// Store is the platform's metadata store.
	Store netip.AddrPort
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// Grace is how long a process may run on after it was asked to stop.
	Grace time.Duration
	// LeaseTime is how long an instance counts as alive after its last sign, and
	// how long a target's new manager waits for the orders of the one before.
	LeaseTime time.Duration
	// FencingEnforced reports whether targets refuse orders with an old fencing number.
	FencingEnforced bool
	// RetryRatio, RetryWindow and RetrySlack bound the repeats over all
	// instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// Defaults of Settings.
const (
	DefaultGrace       = 8 * time.Second
	DefaultLeaseTime   = 3 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetryWindow = 10 * time.Second
	DefaultMemoryBytes = 256 << 20
)

// SetDefaults fills the fields that were left out.
func (s *Settings) SetDefaults() {
	if s.Grace <= 0 {
		s.Grace = DefaultGrace
	}
	if s.LeaseTime <= 0 {
		s.LeaseTime = DefaultLeaseTime
	}
	if s.RetryRatio <= 0 {
		s.RetryRatio = DefaultRetryRatio
	}
	if s.RetryWindow <= 0 {
		s.RetryWindow = DefaultRetryWindow
	}
	if s.MemoryBytes <= 0 {
		s.MemoryBytes = DefaultMemoryBytes
	}
}

// Validate returns every fault of the settings at once.
func (s Settings) Validate() error {
	var errs model.FieldErrors
	if s.Name == "" {
		errs.Add("name", "is missing")
	}
	if s.Zone == "" {
		errs.Add("zone", "is missing")
	}
	for _, l := range []struct {
		name string
		addr netip.AddrPort
	}{
		{
			name: "callers",
			addr: s.Callers,
		},
		{
			name: "readiness",
			addr: s.Readiness,
		},
		{
			name: "peers",
			addr: s.Peers,
		},
		{
			name: "store",
			addr: s.Store,
		},
	} {
		if !l.addr.IsValid() {
			errs.Add(l.name, "needs an IP address with a port")
		}
	}
	return errs.Err()
}

package node

import (
	"net/netip"
	"time"

	"currantstile/model"
)

// Settings configure an instance at its start.
type Settings struct {
	// Name is the name of the instance, and Zone its data centre.
	Name string
	Zone string
	// Callers is the address for requests of callers, Readiness for readiness
	// checks, Peers for calls of other instances, and Metrics for the metrics page.
	// Metrics are not served if it is not valid.
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	Metrics   netip.AddrPort
	// Store is the address of the platform's metadata store.
	Store netip.AddrPort
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Cores is the processor time that the process may use per second, and LinkMbit the
	// bandwidth of the machine's link in Mbit/s. Zero means unknown.
	Cores    float64
	LinkMbit float64
	// Grace is how long the process may still run after it was asked to stop.
	Grace time.Duration
	// LeaseTime is how long an instance counts as alive after it last renewed its
	// lease, and how long the new manager of a target waits for orders of the
	// previous one to end.
	LeaseTime time.Duration
	// FencingEnforced reports whether targets refuse orders with an outdated fencing
	// token.
	FencingEnforced bool
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all instances
	// together: RetryRatio is the number of retries per request, both counted over
	// RetryWindow, and RetrySlack the fixed number of retries allowed in addition.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// BytePrice is the time that it is worth not to move 1 MiB to another data centre: a request stays unless it is
	// served so much earlier elsewhere. 0 means that bytes have no price.
	BytePrice time.Duration
	// Duties are the singleton duties that the instances perform; the zero value is none.
	Duties DutySettings
}

// DutySettings are the settings of singleton duties.
type DutySettings struct {
	// Addr is the address of the platform's interface for duties.
	Addr netip.AddrPort
	// Usage and Scaling enable the reports of usage and the orders of targets.
	Usage   bool
	Scaling bool
	// CallsPerSecond is how many calls all instances together may make in a second; 0 means
	// DefaultDutyCalls.
	CallsPerSecond float64
	// ThawSlack is how long a call may still arrive that was sent by a process that was frozen at that moment.
	ThawSlack time.Duration
	// UsageWindow is the length of a window of usage, and UsageLateness how long after its end its
	// report is due.
	UsageWindow   time.Duration
	UsageLateness time.Duration
}

// Enabled reports whether there is any duty.
func (d *DutySettings) Enabled() bool {
	return d.Usage || d.Scaling
}

// Default values of Settings.
const (
	DefaultGrace       = 8 * time.Second
	DefaultLeaseTime   = 3 * time.Second
	DefaultRetryRatio  = 0.1
	DefaultRetryWindow = 10 * time.Second
	DefaultMemoryBytes = 256 << 20
	// DefaultDutyCalls is in calls per second.
	DefaultDutyCalls     = 10.0
	DefaultUsageLateness = 10 * time.Second
)

// SetDefaults sets fields that are not positive to their default value, if they have one.
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
	if s.Duties.CallsPerSecond <= 0 {
		s.Duties.CallsPerSecond = DefaultDutyCalls
	}
	if s.Duties.UsageLateness <= 0 {
		s.Duties.UsageLateness = DefaultUsageLateness
	}
}

// Validate returns an error that names every invalid setting.
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

// Package config holds the configuration that an instance serves by: routes by
// host and path, services, organisations with their keys and limits, and the
// bounds on what callers send. A Config is built once and never changed.
//
// # Usage
//
//	c, err := config.New(document)
//	route, ok := c.Route("ficu95.example", "/notes/2f")
//	org, ok := c.OrganisationOf(key)
package config

import (
	"sort"
	"strings"
	"time"

	"currantstile/model"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests run once at most.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a series of events; they run once at
	// most unless the route is resumable.
	KindStream Kind = "stream"
)

// WeightedService is one service of a route, with its weight among them.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says what is done with the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services are the services that the route's requests go to.
	Services []WeightedService
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, that counts
	// as prompt.
	Objective time.Duration
	// MaxGap is the longest pause between events that counts as prompt.
	MaxGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxTargets bounds how many targets one request may be sent to.
	MaxTargets int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target after an event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again once it may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe
}

// Model is a base model of an engine service.
type Model struct {
	Name     string
	Adapters int
}

// Engine describes the targets of a service that run models.
type Engine struct {
	// Slots is how many requests a target runs at once.
	Slots int
	// MemoryTokens is the memory for the tokens of all running requests.
	MemoryTokens int
	// AdapterSlots is how many adapters a target holds, those on their way
	// included.
	AdapterSlots int
	// EventTokens is how many tokens one event of a stream holds; 0 is not known.
	EventTokens int
	Models      []Model
	// LoadsPerSecond is how many base models may begin to come from the weight
	// store in a second, over all targets; 0 is no bound.
	LoadsPerSecond float64
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string
	// MaxConns is how many connections a target takes from all instances.
	MaxConns int
	// ColdTime is how long a target is cold after its start, in which it bears
	// ColdRate requests a second.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine

	// maxGap is the shortest MaxGap of the routes that lead here.
	maxGap time.Duration
}

// MaxGap is the longest pause between events that is prompt for all streams of the
// service; 0 if no route says.
func (s *Service) MaxGap() time.Duration {
	return s.maxGap
}

// Organisation is a customer with its keys and its limit in tokens.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens a second and Burst in tokens; Rate 0 means no limit.
	Rate  int64
	Burst int64
	// ByTokens counts requests by their tokens, and PlainTokens is what a
	// request without any counts as. Otherwise each request counts as one.
	ByTokens      bool
	DefaultTokens int64
}

// Cost is what a request with so many tokens takes from the limit.
func (o *Organisation) Cost(tokens int64) int64 {
	switch {
	case !o.ByTokens:
		return 1
	case tokens <= 0:
		return o.DefaultTokens
	default:
		return tokens
	}
}

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Defaults of Limits, for a configuration that leaves them out.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 4 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// SetDefaults fills the limits that were left out.
func (l *Limits) SetDefaults() {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
}

// Document is a configuration as its source gives it.
type Document struct {
	// Version grows with each change.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Validate returns every fault of the document at once.
func (d *Document) Validate() error {
	var errs model.FieldErrors
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for _, r := range d.Routes {
		switch r.Kind {
		case KindSafe, KindUnsafe, KindStream:
		default:
			errs.Add("routes."+r.Name, "kind %q is not known", string(r.Kind))
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			errs.Add("routes."+r.Name, "prefix %q does not begin and end with a slash", r.Prefix)
		}
		for _, s := range r.Services {
			if !services[s.Service] {
				errs.Add("routes."+r.Name, "service %q is not known", s.Service)
			}
		}
	}
	return errs.Err()
}

// Config answers look-ups in one document.
type Config struct {
	Document
	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	orgsByName     map[string]*Organisation
	orgsByKey      map[string]*Organisation
	rankKeys       []rankKey
}

// New indexes a document. It returns the document's faults.
func New(d Document) (*Config, error) {
	d.Limits.SetDefaults()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	c := &Config{
		Document:       d,
		routesByHost:   make(map[string][]*Route),
		servicesByName: make(map[string]*Service, len(d.Services)),
		orgsByName:     make(map[string]*Organisation, len(d.Organisations)),
		orgsByKey:      make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		c.orgsByName[o.Name] = o
		for _, k := range o.Keys {
			c.orgsByKey[k] = o
		}
	}
	c.indexRanks()
	c.indexMaxGaps()
	return c, nil
}

// indexMaxGaps finds the shortest pause that the routes to each service allow.
func (c *Config) indexMaxGaps() {
	for _, r := range c.Routes {
		for _, share := range r.Services {
			s := c.servicesByName[share.Service]
			if r.MaxGap > 0 && (s.maxGap == 0 || r.MaxGap < s.maxGap) {
				s.maxGap = r.MaxGap
			}
		}
	}
}

// Route returns the route of a host with the longest prefix of the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service of that name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.servicesByName[name]
	return s, ok
}

// Organisation returns the organisation of that name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.orgsByName[name]
	return o, ok
}

// OrganisationByKey returns the organisation that holds a key.
func (c *Config) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := c.orgsByKey[key]
	return o, ok
}

// RequiresKeys reports whether callers of routes that are not public present keys.
func (c *Config) RequiresKeys() bool {
	return len(c.Organisations) > 0
}

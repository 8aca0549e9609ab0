// Package config holds the configuration of an instance: routes by host and path,
// services, organisations with their keys and limits, and limits on requests. A
// Config is immutable.
//
// # Usage
//
//	c, err := config.New(document)
//	route, ok := c.Route("ficu95.example", "/notes/2f")
//	org, ok := c.OrganisationByKey(key)
package config

import (
	"sort"
	"strings"
	"time"

	"currantstile/model"
)

// Kind determines whether and when requests of a route may be repeated.
type Kind string

// Route kinds.
const (
	// KindSafe requests may be executed any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests are executed at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with an event stream; they are executed at
	// most once unless the route is resumable.
	KindStream Kind = "stream"
)

// WeightedService is a service of a route and its relative weight in the traffic split.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services receive the route's requests, split by weight.
	Services []WeightedService
	// Timeout is the maximum time from the arrival of a request to the end of its
	// response.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for its first event
	// if it is a stream.
	Objective time.Duration
	// MaxGap is the longest pause between events that is within the objective.
	MaxGap time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// MaxTargets limits how often a request may be executed, or may have been. Attempts
	// that a target certainly did not execute are not counted.
	MaxTargets int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another target after events were sent.
	Resumable bool
}

// Repeatable reports whether a request of the route may be sent again after it may
// have been executed.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe
}

// Model is a base model of an engine service and the number of its adapters.
type Model struct {
	Name     string
	Adapters int
}

// Engine describes the capacity of a service's model-serving targets.
type Engine struct {
	// Slots is how many requests a target runs concurrently.
	Slots int
	// MemoryTokens is the KV cache capacity for all running requests, in tokens.
	MemoryTokens int
	// AdapterSlots is how many adapters a target holds, including those being
	// loaded.
	AdapterSlots int
	// EventTokens is how many tokens one stream event carries; 0 means unknown.
	EventTokens int
	Models      []Model
	// LoadsPerSecond limits how many base model loads from the weight store may
	// start per second across all targets; 0 means no limit.
	LoadsPerSecond float64
}

// Scaling bounds the number of a service's targets in each data centre.
type Scaling struct {
	Minimum int
	Maximum int
	// BootTime is how long a target that was ordered takes until it can be sent requests.
	BootTime time.Duration
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// MaxConns is how many connections a target accepts from all instances together.
	MaxConns int
	// ColdTime is the duration of a target's cold start, during which it accepts
	// only ColdRate requests per second.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil if the number of targets is not ours to order.
	Scaling *Scaling

	// maxGap is the shortest MaxGap of the routes to this service.
	maxGap time.Duration
}

// MaxGap returns the longest pause between events that is within the objective of
// every route to the service, or 0 if no route sets one.
func (s *Service) MaxGap() time.Duration {
	return s.maxGap
}

// Organisation is a customer with its API keys and rate limit.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second and Burst in tokens; Rate 0 means no limit.
	Rate  int64
	Burst int64
	// ByTokens charges each request its number of tokens, or DefaultTokens if it
	// has none. Otherwise each request costs one.
	ByTokens      bool
	DefaultTokens int64
}

// Cost returns what a request with the given number of tokens is charged against the
// rate limit.
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

// Limits restrict the size of requests and the time to receive them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Default limits, used where the configuration sets none.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxBodyBytes   = 4 << 20
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
)

// SetDefaults sets the limits that are not positive to their defaults.
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

// Document is a configuration as read from its source.
type Document struct {
	// Version increases with each change.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Notes say what of the source is in force in another way than it is written.
	Notes []string
}

// Validate returns all errors of the document at once, as model.FieldErrors.
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
			errs.Add("routes."+r.Name, "kind %q is not supported", string(r.Kind))
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			errs.Add("routes."+r.Name, "prefix %q must begin and end with a slash", r.Prefix)
		}
		for _, s := range r.Services {
			if !services[s.Service] {
				errs.Add("routes."+r.Name, "service %q is not defined", s.Service)
			}
		}
	}
	return errs.Err()
}

// Config is an indexed, immutable document.
type Config struct {
	Document
	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	orgsByName     map[string]*Organisation
	orgsByKey      map[string]*Organisation
	rankKeys       []rankKey
}

// New applies default limits to a document, validates it and builds its indexes.
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

// indexMaxGaps sets each service's maxGap to the shortest one of its routes.
func (c *Config) indexMaxGaps() {
	for _, r := range c.Routes {
		for _, ws := range r.Services {
			s := c.servicesByName[ws.Service]
			if r.MaxGap > 0 && (s.maxGap == 0 || r.MaxGap < s.maxGap) {
				s.maxGap = r.MaxGap
			}
		}
	}
}

// Route returns the host's route with the longest prefix that matches the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.servicesByName[name]
	return s, ok
}

// Organisation returns the organisation with the given name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	o, ok := c.orgsByName[name]
	return o, ok
}

// OrganisationByKey returns the organisation that owns an API key.
func (c *Config) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := c.orgsByKey[key]
	return o, ok
}

// RequiresKeys reports whether routes that are not public require an API key. They do if
// any organisation is configured.
func (c *Config) RequiresKeys() bool {
	return len(c.Organisations) > 0
}

package model

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Contract is what one organisation has agreed to; every limit that its
// callers meet follows from it.
type Contract struct {
	Organisation OrgID `json:"organisation"`
	Keys         Keys  `json:"keys"`
	// Rate is in tokens a second over all instances together.
	Rate int64 `json:"rate"`
	// Burst is in tokens over all instances together.
	Burst    int64            `json:"burst"`
	Adapters ContractAdapters `json:"adapters"`
	Routes   Routes           `json:"routes"`
	// Priority weighs the organisation in queues, from 1 to 100.
	Priority int `json:"priority,omitempty"`
	// Deadline is how long a request may wait and run.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxTokens bounds the generated tokens of a request that names no bound.
	MaxTokens int64 `json:"max-tokens,omitempty"`
}

// Contracts is a list of contracts.
type Contracts []Contract

// ContractAdapter is an adapter with the versions that may be asked for.
type ContractAdapter struct {
	Name string `json:"name"`
	// Current is the version of a request that names none.
	Current  string   `json:"current,omitempty"`
	Versions []string `json:"versions"`
}

// ContractAdapters is a list of a contract's adapters.
type ContractAdapters []ContractAdapter

// Bounds and defaults of a contract.
const (
	MaxRate          = 1_000_000_000
	MaxPriority      = 100
	DefaultPriority  = 10
	DefaultDeadline  = Duration(60 * time.Second)
	MaxDeadline      = Duration(time.Hour)
	DefaultMaxTokens = 256
	// MaxContractBytes keeps a contract within one value of the platform's
	// key-value service.
	MaxContractBytes = 1_000_000
)

// ParseContract reads, completes and validates one contract. Unknown fields
// are refused. The error is a FieldErrors where the document could be read.
func ParseContract(document []byte) (Contract, error) {
	var c Contract
	if len(document) > MaxContractBytes {
		return c, errors.Errorf("contract has %d bytes; at most %d fit the store", len(document), MaxContractBytes)
	}
	if err := DecodeStrict(document, &c); err != nil {
		return c, errors.Wrap(err, "contract")
	}
	c.SetDefaults()
	return c, c.Validate()
}

// DecodeStrict reads one JSON document, refusing unknown fields and anything
// after the document.
func DecodeStrict(document []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(document))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("text after the end of the document")
	}
	return nil
}

// SetDefaults fills the fields that were left out.
func (c *Contract) SetDefaults() {
	if c.Priority == 0 {
		c.Priority = DefaultPriority
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = min(DefaultMaxTokens, max(c.Burst/2, 1))
	}
	for i := range c.Adapters {
		c.Adapters[i].SetDefaults()
	}
	for i := range c.Routes {
		c.Routes[i].SetDefaults()
	}
}

// SetDefaults makes the last version current where none is named.
func (a *ContractAdapter) SetDefaults() {
	if a.Current == "" && len(a.Versions) > 0 {
		a.Current = a.Versions[len(a.Versions)-1]
	}
}

// Validate returns every fault of the contract at once, as FieldErrors.
func (c Contract) Validate() error {
	var errs FieldErrors
	if !ValidName(string(c.Organisation)) {
		errs.Add("organisation", "%q is not a valid name", truncate(string(c.Organisation)))
	}
	validateRange(&errs, "rate", c.Rate, 1, MaxRate)
	validateRange(&errs, "burst", c.Burst, 1, MaxRate)
	validateRange(&errs, "priority", int64(c.Priority), 1, MaxPriority)
	validateRange(&errs, "max-tokens", c.MaxTokens, 1, max(c.Burst, 1))
	if c.Deadline <= 0 || c.Deadline > MaxDeadline {
		errs.Add("deadline", "must be above 0s and at most %s", time.Duration(MaxDeadline))
	}
	c.Keys.validate(&errs)
	c.Adapters.validate(&errs)
	c.Routes.validate(c.Burst, &errs)
	return errs.Err()
}

func validateRange(errs *FieldErrors, path string, v, low, high int64) {
	if v < low || v > high {
		errs.Add(path, "must be between %d and %d, is %d", low, high, v)
	}
}

func (ks Keys) validate(errs *FieldErrors) {
	seen := make(map[KeyID]bool, len(ks))
	for i, k := range ks {
		path := fmt.Sprintf("keys[%d]", i)
		if !base32Pattern.MatchString(string(k.ID)) {
			errs.Add(path+".id", "%q is not a key id", truncate(string(k.ID)))
		}
		if seen[k.ID] {
			errs.Add(path+".id", "%q stands twice", truncate(string(k.ID)))
		}
		seen[k.ID] = true
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
			errs.Add(path+".hash", "is not a SHA-256 in hexadecimal digits")
		}
	}
}

func (as ContractAdapters) validate(errs *FieldErrors) {
	seen := make(map[string]bool, len(as))
	for i, a := range as {
		path := fmt.Sprintf("adapters[%d]", i)
		if !ValidName(a.Name) {
			errs.Add(path+".name", "%q is not a valid name", truncate(a.Name))
		}
		if seen[a.Name] {
			errs.Add(path+".name", "%q stands twice", truncate(a.Name))
		}
		seen[a.Name] = true
		a.validateVersions(path, errs)
	}
}

func (a ContractAdapter) validateVersions(path string, errs *FieldErrors) {
	if len(a.Versions) == 0 {
		errs.Add(path+".versions", "must name at least one version")
		return
	}
	for i, v := range a.Versions {
		if !ValidName(v) {
			errs.Add(fmt.Sprintf("%s.versions[%d]", path, i), "%q is not a valid name", truncate(v))
		}
	}
	if !slices.Contains(a.Versions, a.Current) {
		errs.Add(path+".current", "%q is not among the versions", truncate(a.Current))
	}
}

// ContractIndex answers look-ups in one contract without scanning it.
type ContractIndex struct {
	Contract Contract
	keys     map[KeyID]Key
	adapters map[string]ContractAdapter
	routes   map[string]Route
}

// NewContractIndex builds the index of a valid contract.
func NewContractIndex(c Contract) *ContractIndex {
	x := &ContractIndex{
		Contract: c,
		keys:     make(map[KeyID]Key, len(c.Keys)),
		adapters: make(map[string]ContractAdapter, len(c.Adapters)),
		routes:   make(map[string]Route, len(c.Routes)),
	}
	for _, k := range c.Keys {
		x.keys[k.ID] = k
	}
	for _, a := range c.Adapters {
		x.adapters[a.Name] = a
	}
	for _, r := range c.Routes {
		x.routes[r.Name] = r
	}
	return x
}

// Accepts reports whether the key is one of the contract's.
func (x *ContractIndex) Accepts(key ParsedKey) bool {
	k, ok := x.keys[key.ID]
	return ok && k.Matches(key)
}

// Resolve returns the adapter version that a request for a runs on: the one it
// names, or else the current one. It reports false where the contract does not
// hold it.
func (x *ContractIndex) Resolve(a Adapter) (Adapter, bool) {
	c, ok := x.adapters[a.Name]
	if !ok {
		return Adapter{}, false
	}
	if a.Version == "" {
		a.Version = c.Current
	}
	return a, slices.Contains(c.Versions, a.Version)
}

// Route returns the route of that name.
func (x *ContractIndex) Route(name string) (Route, bool) {
	r, ok := x.routes[name]
	return r, ok
}

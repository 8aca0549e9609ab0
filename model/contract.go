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

// Contract is the agreement with one organisation. All limits on the
// organisation's callers are derived from it.
type Contract struct {
	Organisation OrgID `json:"organisation"`
	Keys         Keys  `json:"keys"`
	// Rate is the sustained rate in tokens per second, summed over all instances.
	Rate int64 `json:"rate"`
	// Burst is the burst size in tokens, summed over all instances.
	Burst    int64            `json:"burst"`
	Adapters ContractAdapters `json:"adapters"`
	Routes   Routes           `json:"routes"`
	// Priority is the organisation's weight in queues, from 1 to 100.
	Priority int `json:"priority,omitempty"`
	// Deadline limits the time that a request may spend queued and running.
	Deadline Duration `json:"deadline,omitempty"`
	// MaxTokens limits the generated tokens of a request that sets no limit itself.
	MaxTokens int64 `json:"max-tokens,omitempty"`
}

// Contracts is a list of contracts.
type Contracts []Contract

// ContractAdapter is an adapter with the versions that may be requested.
type ContractAdapter struct {
	Name string `json:"name"`
	// Current is the version used for requests that do not specify one.
	Current  string   `json:"current,omitempty"`
	Versions []string `json:"versions"`
}

// ContractAdapters is the list of adapters in a contract.
type ContractAdapters []ContractAdapter

// Limits and defaults for contract fields.
const (
	// MaxRate limits both the rate, in tokens per second, and the burst, in tokens.
	MaxRate          = 1_000_000_000
	MaxPriority      = 100
	DefaultPriority  = 10
	DefaultDeadline  = Duration(60 * time.Second)
	MaxDeadline      = Duration(time.Hour)
	DefaultMaxTokens = 256
	// MaxContractBytes is the largest contract document, in bytes, so that a
	// contract fits into one value of the platform's key-value service.
	MaxContractBytes = 1_000_000
)

// ParseContract decodes a contract, sets its defaults and validates it. Unknown
// fields are rejected. If the document could be decoded, the error is a
// FieldErrors.
func ParseContract(document []byte) (Contract, error) {
	var c Contract
	if len(document) > MaxContractBytes {
		return c, errors.Errorf("contract document is too large: %d bytes, limit %d", len(document), MaxContractBytes)
	}
	if err := DecodeStrict(document, &c); err != nil {
		return c, errors.Wrap(err, "contract")
	}
	c.SetDefaults()
	return c, c.Validate()
}

// DecodeStrict decodes one JSON document into v. It rejects unknown fields and
// trailing data.
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

// SetDefaults sets fields that are zero to their defaults.
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

// SetDefaults makes the last version the current one if none is set.
func (a *ContractAdapter) SetDefaults() {
	if a.Current == "" && len(a.Versions) > 0 {
		a.Current = a.Versions[len(a.Versions)-1]
	}
}

// Validate checks all fields and returns every error found, as FieldErrors.
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

// validateRange adds an error for the field at path unless low <= v <= high.
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
			errs.Add(path+".id", "%q is not a valid key ID", truncate(string(k.ID)))
		}
		if seen[k.ID] {
			errs.Add(path+".id", "%q is a duplicate", truncate(string(k.ID)))
		}
		seen[k.ID] = true
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
			errs.Add(path+".hash", "is not a hexadecimal SHA-256 hash")
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
			errs.Add(path+".name", "%q is a duplicate", truncate(a.Name))
		}
		seen[a.Name] = true
		a.validateVersions(path, errs)
	}
}

func (a ContractAdapter) validateVersions(path string, errs *FieldErrors) {
	if len(a.Versions) == 0 {
		errs.Add(path+".versions", "must list at least one version")
		return
	}
	for i, v := range a.Versions {
		if !ValidName(v) {
			errs.Add(fmt.Sprintf("%s.versions[%d]", path, i), "%q is not a valid name", truncate(v))
		}
	}
	if !slices.Contains(a.Versions, a.Current) {
		errs.Add(path+".current", "%q is not in the list of versions", truncate(a.Current))
	}
}

// ContractIndex indexes the keys, adapters and routes of one contract by name.
type ContractIndex struct {
	Contract Contract
	keys     map[KeyID]Key
	adapters map[string]ContractAdapter
	routes   map[string]Route
}

// NewContractIndex returns the index of a contract, which must be valid.
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

// Accepts reports whether key is one of the contract's keys.
func (x *ContractIndex) Accepts(key ParsedKey) bool {
	k, ok := x.keys[key.ID]
	return ok && k.Matches(key)
}

// Resolve returns the adapter version that serves a request for a: the requested
// version, or the current one if a.Version is empty. It reports false if the
// contract does not contain that adapter version.
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

// Route returns the route called name, and whether it exists.
func (x *ContractIndex) Route(name string) (Route, bool) {
	r, ok := x.routes[name]
	return r, ok
}

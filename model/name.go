package model

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// OrgID is the name of an organisation.
type OrgID string

// ZoneID is the name of a data centre.
type ZoneID string

// InstanceID is the name of an instance of currantstile.
type InstanceID string

// TargetID is the name of a target: a model engine or a plain service.
type TargetID string

// KeyID identifies a caller's key; it is the public part of the key.
type KeyID string

// MaxNameBytes is the maximum length of names of all kinds, in bytes.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ValidName reports whether s is a valid name of an organisation, a data centre, an
// instance, a target, an adapter, a version or a route: at most MaxNameBytes
// lower-case letters, digits, dots and dashes, beginning and ending with a
// letter or digit.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// Adapter is one version of one adapter.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Adapters is a list of adapter versions.
type Adapters []Adapter

// String returns the adapter as name@version.
func (a Adapter) String() string {
	return a.Name + "@" + a.Version
}

// ParseAdapter parses name@version or name. Without a version, Version is empty
// and the contract's current version applies.
func ParseAdapter(s string) (Adapter, error) {
	name, version, hasVersion := strings.Cut(s, "@")
	if !ValidName(name) {
		return Adapter{}, errors.Errorf("invalid adapter name %q", truncate(name))
	}
	if hasVersion && !ValidName(version) {
		return Adapter{}, errors.Errorf("invalid adapter version %q", truncate(version))
	}
	return Adapter{
		Name:    name,
		Version: version,
	}, nil
}

// truncate limits untrusted text in an error message to MaxNameBytes bytes.
func truncate(s string) string {
	if len(s) <= MaxNameBytes {
		return s
	}
	return s[:MaxNameBytes] + "…"
}

package model

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// OrgID names an organisation.
type OrgID string

// ZoneID names a data centre.
type ZoneID string

// InstanceID names an instance of currantstile itself.
type InstanceID string

// TargetID names a target: a model engine or a plain service.
type TargetID string

// KeyID names a caller's key; it is the part of the key that is not secret.
type KeyID string

// MaxNameBytes is the longest name of any kind, in bytes.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ValidName reports whether s can name an organisation, a data centre, an
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

// String returns name@version.
func (a Adapter) String() string {
	return a.Name + "@" + a.Version
}

// ParseAdapter reads name@version, or name alone, in which case the version is
// empty and the contract's current version applies.
func ParseAdapter(s string) (Adapter, error) {
	name, version, pinned := strings.Cut(s, "@")
	if !ValidName(name) {
		return Adapter{}, errors.Errorf("adapter name %q is not valid", truncate(name))
	}
	if pinned && !ValidName(version) {
		return Adapter{}, errors.Errorf("adapter version %q is not valid", truncate(version))
	}
	return Adapter{
		Name:    name,
		Version: version,
	}, nil
}

// truncate shortens untrusted text for an error message.
func truncate(s string) string {
	if len(s) <= MaxNameBytes {
		return s
	}
	return s[:MaxNameBytes] + "…"
}

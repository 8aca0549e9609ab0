package model

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	keyPrefix      = "ctk"
	keyIDBytes     = 5
	keySecretBytes = 25
)

var keyEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is a caller's key as stored in a contract: its hash, never the key itself.
type Key struct {
	ID KeyID `json:"id"`
	// Hash is the SHA-256 hash of the full key text, in lower-case hexadecimal digits.
	Hash string `json:"hash"`
	// Issued is the time at which an operator issued the key.
	Issued time.Time `json:"issued"`
}

// Keys is a list of keys.
type Keys []Key

// ParsedKey is a key as presented by a caller: "ctk.ORGANISATION.ID.SECRET".
// It has not been verified: the organisation in it only selects the contract to
// check it against.
type ParsedKey struct {
	Organisation OrgID
	ID           KeyID
	text         string
}

// ErrMalformedKey is returned for text that does not have the format of a key.
var ErrMalformedKey = errors.New("malformed key")

var base32Pattern = regexp.MustCompile(`^[a-z2-7]+$`)

// ParseKey parses a key presented by a caller. It checks only the format, not
// whether a contract contains the key.
func ParseKey(text string) (ParsedKey, error) {
	rest, ok := strings.CutPrefix(text, keyPrefix+".")
	if !ok {
		return ParsedKey{}, ErrMalformedKey
	}
	rest, secret, ok := cutAtLastDot(rest)
	if !ok || !base32Pattern.MatchString(secret) {
		return ParsedKey{}, ErrMalformedKey
	}
	org, id, ok := cutAtLastDot(rest)
	if !ok || !ValidName(org) || !base32Pattern.MatchString(id) {
		return ParsedKey{}, ErrMalformedKey
	}
	return ParsedKey{
		Organisation: OrgID(org),
		ID:           KeyID(id),
		text:         text,
	}, nil
}

// cutAtLastDot splits s at its last dot. Organisations may contain dots, the other
// parts of a key may not.
func cutAtLastDot(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// IssueKey generates a key for an organisation. The returned text is the only copy
// of the secret; the returned Key is to be stored in the contract.
func IssueKey(now time.Time, org OrgID) (string, Key) {
	id := KeyID(randomText(keyIDBytes))
	text := strings.Join([]string{keyPrefix, string(org), string(id), randomText(keySecretBytes)}, ".")
	return text, Key{
		ID:     id,
		Hash:   hashKey(text),
		Issued: now.UTC().Truncate(time.Second),
	}
}

// Matches reports whether presented is the key with this hash. The hashes are compared
// in constant time.
func (k Key) Matches(presented ParsedKey) bool {
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashKey(presented.text))) == 1
}

func hashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func randomText(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b)
	return keyEncoding.EncodeToString(b)
}

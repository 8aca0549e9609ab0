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

// Key is a caller's key as a contract holds it: its hash, never the key itself.
type Key struct {
	ID KeyID `json:"id"`
	// Hash is the SHA-256 of the whole key, in lower-case hexadecimal digits.
	Hash string `json:"hash"`
	// Issued is when an operator issued the key.
	Issued time.Time `json:"issued"`
}

// Keys is a list of keys.
type Keys []Key

// ParsedKey is a key as the caller presents it: "ctk.ORGANISATION.ID.SECRET".
// The organisation in it only selects the contract to check the key against.
type ParsedKey struct {
	Organisation OrgID
	ID           KeyID
	text         string
}

// ErrMalformedKey is returned for text that cannot be a key.
var ErrMalformedKey = errors.New("key is malformed")

var base32Pattern = regexp.MustCompile(`^[a-z2-7]+$`)

// ParseKey reads a key as presented by a caller. It does not check whether the
// key is valid.
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

// cutAtLastDot splits s at its last dot.
func cutAtLastDot(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// IssueKey makes a new key for an organisation. The returned text is the only
// copy of the secret; the returned Key goes into the contract.
func IssueKey(now time.Time, org OrgID) (string, Key) {
	id := KeyID(randomText(keyIDBytes))
	text := strings.Join([]string{keyPrefix, string(org), string(id), randomText(keySecretBytes)}, ".")
	return text, Key{
		ID:     id,
		Hash:   hashKey(text),
		Issued: now.UTC().Truncate(time.Second),
	}
}

// Matches reports in constant time whether the text is this key.
func (k Key) Matches(text ParsedKey) bool {
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashKey(text.text))) == 1
}

func hashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func randomText(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b)
	return keyEncoding.EncodeToString(b)
}

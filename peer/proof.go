package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// proofRole keeps one side's proof from being sent back as the other side's.
type proofRole byte

const (
	roleClient proofRole = 'c'
	roleServer proofRole = 'a'

	nonceBytes   = 16
	proofTimeout = 2 * time.Second
)

// ErrSecretMismatch is returned where the other side does not know the fleet's secret.
var ErrSecretMismatch = errors.New("the other side does not know the fleet's secret")

// authenticate shows each side of a new connection that the other one knows the fleet's
// secret: both send a nonce, then a keyed hash of both nonces and their own role.
// It does not encrypt what follows. An empty secret proves nothing.
func authenticate(c net.Conn, secret string, own proofRole) error {
	if secret == "" {
		return nil
	}
	if err := c.SetDeadline(time.Now().Add(proofTimeout)); err != nil {
		return err
	}
	mine := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(mine)
	theirs, err := exchange(c, mine)
	if err != nil {
		return err
	}
	first, second, other := mine, theirs, roleServer
	if own == roleServer {
		first, second, other = theirs, mine, roleClient
	}
	got, err := exchange(c, proofMAC(secret, own, first, second))
	if err != nil {
		return err
	}
	if !hmac.Equal(got, proofMAC(secret, other, first, second)) {
		return ErrSecretMismatch
	}
	return c.SetDeadline(time.Time{})
}

func proofMAC(secret string, r proofRole, first, second []byte) []byte {
	h := hmac.New(sha256.New, []byte(secret))
	h.Write([]byte{byte(r)})
	h.Write(first)
	h.Write(second)
	return h.Sum(nil)
}

// exchange sends a message and reads one of the same length.
func exchange(c net.Conn, mine []byte) ([]byte, error) {
	if _, err := c.Write(mine); err != nil {
		return nil, err
	}
	theirs := make([]byte, len(mine))
	_, err := io.ReadFull(c, theirs)
	return theirs, err
}

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

// proofRole is part of each proof, so that one side's proof cannot be sent back as
// the other side's.
type proofRole byte

const (
	roleClient proofRole = 'c'
	roleServer proofRole = 'a'

	nonceBytes   = 16
	proofTimeout = 2 * time.Second
)

// ErrSecretMismatch is returned if the peer does not know the fleet's secret.
var ErrSecretMismatch = errors.New("peer authentication failed: the fleet's secret does not match")

// authenticate performs mutual authentication on a new connection: each side sends
// a nonce, then an HMAC, keyed with the fleet's secret, of its own role and both
// nonces. It does not encrypt the connection. An empty secret disables
// authentication.
func authenticate(c net.Conn, secret string, side proofRole) error {
	if secret == "" {
		return nil
	}
	if err := c.SetDeadline(time.Now().Add(proofTimeout)); err != nil {
		return err
	}
	localNonce := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(localNonce)
	remoteNonce, err := exchange(c, localNonce)
	if err != nil {
		return err
	}
	first, second, other := localNonce, remoteNonce, roleServer
	if side == roleServer {
		first, second, other = remoteNonce, localNonce, roleClient
	}
	got, err := exchange(c, proofMAC(secret, side, first, second))
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

// exchange sends a message and reads one of the same length from the peer.
func exchange(c net.Conn, own []byte) ([]byte, error) {
	if _, err := c.Write(own); err != nil {
		return nil, err
	}
	remote := make([]byte, len(own))
	_, err := io.ReadFull(c, remote)
	return remote, err
}

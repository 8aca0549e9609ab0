package public

import (
	"bytes"
	"net/url"
	"regexp"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/model"
)

var (
	bearerPrefix = []byte("Bearer ")
	// keyPattern matches every text with the format of a key, whether the key exists
	// or not.
	keyPattern = regexp.MustCompile(`ctk\.[a-z0-9.-]+\.[a-z2-7]{8}\.[a-z2-7]{40}`)
	keyPrefix  = []byte("ctk.")
)

// authenticate returns the contract of the key in the Authorization header. It checks
// every request against the current configuration, so that a withdrawn key is also
// rejected on an open connection.
func (s *Server) authenticate(c *app.RequestContext) (*model.ContractIndex, *errorResponse) {
	text, ok := bytes.CutPrefix(c.Request.Header.Peek("Authorization"), bearerPrefix)
	if !ok {
		return nil, &errNoKey
	}
	key, err := model.ParseKey(string(text))
	if err != nil {
		return nil, &errInvalidKey
	}
	x, ok := s.View().Contract(key.Organisation)
	if !ok || !x.Accepts(key) {
		return nil, &errInvalidKey
	}
	return x, nil
}

// containsKey reports whether text that would be sent to a target contains a key,
// either literally or URL-escaped.
func containsKey(text []byte) bool {
	if bytes.Contains(text, keyPrefix) && keyPattern.Match(text) {
		return true
	}
	if !bytes.ContainsRune(text, '%') {
		return false
	}
	plain, err := url.QueryUnescape(string(text))
	return err == nil && keyPattern.MatchString(plain)
}

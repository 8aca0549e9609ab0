package remote

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"currantstile/rest"
	"currantstile/store"
)

func decodeBody(body []byte, out any) error {
	return errors.WithStack(json.Unmarshal(body, out))
}

// writeError types the result of a call that has an effect. Only an answer
// from the service, or the proof that nothing was sent, says that the call did
// not take effect.
func writeError(a rest.Answer, err error, key string) error {
	if err != nil && !rest.MaybeSent(err) {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(store.ErrAmbiguous, err.Error())
	}
	var current revisionResponse
	if a.Status == http.StatusConflict {
		// A conflict whose body cannot be read is a conflict all the same.
		_ = json.Unmarshal(a.Body, &current)
	}
	return statusError(a.Status, key, current.Revision)
}

func statusError(status int, key string, current store.Revision) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusConflict:
		return &store.ConflictError{
			Key:     key,
			Current: current,
		}
	case http.StatusGone:
		return store.ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case http.StatusTooManyRequests:
		return store.ErrRateLimited
	case http.StatusServiceUnavailable:
		return store.ErrUnavailable
	default:
		return errors.Wrapf(store.ErrAmbiguous, "status %d", status)
	}
}

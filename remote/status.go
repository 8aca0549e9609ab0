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

// writeError converts the result of a call with side effects to an error of package
// store. The call is known to have had no effect only if the service answered so,
// or if the request provably was not sent; any other failure is ambiguous.
func writeError(resp rest.Response, err error, key string) error {
	if err != nil && !rest.MaybeSent(err) {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(store.ErrAmbiguous, err.Error())
	}
	var current revisionResponse
	if resp.Status == http.StatusConflict {
		// It remains a conflict if the body cannot be decoded.
		_ = json.Unmarshal(resp.Body, &current)
	}
	return statusError(resp.Status, key, current.Revision)
}

// statusError maps the status of a response to an error of package store. An unexpected
// status counts as ambiguous.
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
		return errors.Wrapf(store.ErrAmbiguous, "unexpected HTTP status %d", status)
	}
}

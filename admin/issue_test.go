package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/admin"
	"currantstile/itest"
	"currantstile/rest"
)

// Guards against the text of a key that was never stored, shown where the request to issue one
// is repeated with its change ID.
func TestRepeatedIssueShowsNoOtherKey(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	issue := func(changeID string) (int, admin.ChangeResponse) {
		ctx, cancel := context.WithTimeout(context.Background(), itest.Timeout)
		defer cancel()
		resp, err := itest.Client.Exchange(ctx, rest.Request{
			Method: http.MethodPost,
			Addr:   f.Instances[0].AdminServer().BoundAddr(),
			Path:   "/v1/contracts/" + string(f.Profile.Orgs[0].ID) + "/keys",
			Header: http.Header{
				admin.HeaderChangeID: {changeID},
			},
		})
		require.NoError(t, err)
		var body admin.ChangeResponse
		require.NoError(t, json.Unmarshal(resp.Body, &body))
		return resp.Status, body
	}
	status, first := issue("c1")
	require.Equal(t, http.StatusOK, status)
	require.NotEmpty(t, first.Key)
	status, again := issue("c1")
	require.Equal(t, http.StatusConflict, status)
	require.Empty(t, again.Key)
	status, other := issue("c2")
	require.Equal(t, http.StatusOK, status)
	require.NotEqual(t, first.KeyID, other.KeyID)
}

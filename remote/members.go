package remote

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"currantstile/errs"
	"currantstile/member"
	"currantstile/model"
	"currantstile/rest"
)

const listTimeout = 2 * time.Second

var _ member.Source = (*Members)(nil)

// Members reads the platform's member list over HTTP.
type Members struct {
	Addr netip.AddrPort
	HTTP *rest.Client
}

// Members implements member.Source.
func (c *Members) Members(ctx context.Context) (model.Members, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list model.Members
	resp, err := c.HTTP.ExchangeJSON(ctx, rest.Request{
		Method: http.MethodGet,
		Addr:   c.Addr,
		Path:   "/members",
	}, nil, &list)
	if err == nil && resp.Status != http.StatusOK {
		err = errors.Errorf("unexpected HTTP status %d", resp.Status)
	}
	return list, errs.WithPeer(err, "Members.Members", c.Addr)
}

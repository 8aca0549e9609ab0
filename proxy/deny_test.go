package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/call"
	"currantstile/config"
)

// parsedCodec parses each request as one without a route.
type parsedCodec struct {
	Codec
}

func (parsedCodec) ParseRequest(time.Time, *http.Request) (*call.Request, error) {
	return &call.Request{
		Host: "unknown",
		Path: "/",
	}, nil
}

// Guards against denials by an old configuration, of an instance that receives the new one, and so becomes up to
// date, after it has looked the request up.
func TestConfigurationReplacedBeforeDenial(t *testing.T) {
	for _, tt := range []struct {
		name     string
		replaced bool
		want     int
		reason   string
	}{
		{
			name:   "the newest configuration",
			want:   http.StatusNotFound,
			reason: "no-route",
		},
		{
			name:     "replaced meanwhile",
			replaced: true,
			want:     http.StatusServiceUnavailable,
			reason:   "outdated-no-route",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := config.New(config.Document{
				Version: 1,
			})
			require.NoError(t, err)
			newer, err := config.New(config.Document{
				Version: 2,
			})
			require.NoError(t, err)
			g := &Gate{
				Codec: parsedCodec{},
				Config: func() *config.Config {
					return cfg
				},
				UpToDate: func(time.Time) bool {
					if tt.replaced {
						cfg = newer
					}
					return true
				},
			}
			x := &Exchange{
				gate: g,
			}
			refusal := g.prepare(time.Now(), x, httptest.NewRequest(http.MethodGet, "/", nil))
			require.NotNil(t, refusal)
			require.Equal(t, tt.want, refusal.Status)
			require.Equal(t, tt.reason, refusal.Reason)
		})
	}
}

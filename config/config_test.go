package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/config"
)

func document() config.Document {
	return config.Document{
		Version: 4,
		Routes: []config.Route{
			{
				Name:   "all",
				Host:   "a.example",
				Prefix: "/",
				Kind:   config.KindSafe,
				Services: []config.WeightedService{
					{
						Service: "app",
						Weight:  1,
					},
				},
			},
			{
				Name:   "notes",
				Host:   "a.example",
				Prefix: "/notes/",
				Kind:   config.KindStream,
			},
			{
				Name:   "old-notes",
				Host:   "a.example",
				Prefix: "/notes/old/",
				Kind:   config.KindUnsafe,
			},
		},
		Services: []config.Service{
			{
				Name: "app",
			},
		},
		Organisations: []config.Organisation{
			{
				Name:          "org",
				Keys:          []string{"k1", "k2"},
				ByTokens:      true,
				DefaultTokens: 200,
			},
		},
	}
}

func TestRoute(t *testing.T) {
	c, err := config.New(document())
	require.NoError(t, err)
	tests := []struct {
		host string
		path string
		want string
	}{
		{
			host: "a.example",
			path: "/notes/1",
			want: "notes",
		},
		{
			host: "a.example",
			path: "/notes/old/1",
			want: "old-notes",
		},
		{
			host: "a.example",
			path: "/notes",
			want: "all",
		},
		{
			host: "b.example",
			path: "/notes/1",
		},
	}
	for _, tt := range tests {
		r, ok := c.Route(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, tt.path)
		if ok {
			require.Equal(t, tt.want, r.Name)
		}
	}
}

func TestOrganisation(t *testing.T) {
	c, err := config.New(document())
	require.NoError(t, err)
	o, ok := c.OrganisationByKey("k2")
	require.True(t, ok)
	require.Equal(t, int64(200), o.Cost(0))
	require.Equal(t, int64(70), o.Cost(70))
	_, ok = c.OrganisationByKey("")
	require.False(t, ok)
	require.Equal(t, int64(1), (&config.Organisation{}).Cost(70))
}

// TestNewReportsAllErrors guards against validation that stops at the first error.
func TestNewReportsAllErrors(t *testing.T) {
	d := document()
	d.Routes[0].Kind = "sometimes"
	d.Routes[1].Prefix = "notes"
	d.Routes[2].Services = []config.WeightedService{
		{
			Service: "nobody",
		},
	}
	_, err := config.New(d)
	require.ErrorContains(t, err, "routes.all: kind")
	require.ErrorContains(t, err, "routes.notes: prefix")
	require.ErrorContains(t, err, "routes.old-notes: service")
}

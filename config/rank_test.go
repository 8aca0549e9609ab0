package config_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/config"
)

// TestRank checks that an organisation's priority takes precedence over the route's, and
// that requests of one organisation are ordered by the route's.
func TestRank(t *testing.T) {
	c, err := config.New(config.Document{
		Routes: []config.Route{
			{
				Name:     "urgent",
				Prefix:   "/u/",
				Kind:     config.KindStream,
				Priority: 0,
			},
			{
				Name:     "bulk",
				Prefix:   "/b/",
				Kind:     config.KindStream,
				Priority: 2,
			},
		},
		Organisations: []config.Organisation{
			{
				Name:        "first",
				Priority:    0,
				HasPriority: true,
			},
			{
				Name:        "last",
				Priority:    3,
				HasPriority: true,
			},
			{
				Name: "plain",
			},
		},
	})
	require.NoError(t, err)
	tests := []struct {
		route string
		org   string
		want  int
	}{
		{
			route: "urgent",
			org:   "first",
			want:  0,
		},
		{
			route: "urgent",
			org:   "plain",
			want:  0,
		},
		{
			route: "bulk",
			org:   "first",
			want:  1,
		},
		{
			route: "bulk",
			org:   "plain",
			want:  2,
		},
		{
			route: "urgent",
			org:   "last",
			want:  3,
		},
		{
			route: "bulk",
			org:   "last",
			want:  4,
		},
	}
	for _, tt := range tests {
		t.Run(tt.route+"/"+tt.org, func(t *testing.T) {
			r, ok := c.Route("", map[string]string{"urgent": "/u/x", "bulk": "/b/x"}[tt.route])
			require.True(t, ok)
			o, ok := c.Organisation(tt.org)
			require.True(t, ok)
			require.Equal(t, tt.want, c.Rank(r, o))
		})
	}
}

// TestRankIsBounded checks that ranks keep the order of the priorities and stay below
// RankCount if there are more priorities than ranks.
func TestRankIsBounded(t *testing.T) {
	d := config.Document{}
	for i := range 25 {
		d.Routes = append(d.Routes, config.Route{
			Name:     fmt.Sprint(i),
			Prefix:   fmt.Sprintf("/%d/", i),
			Kind:     config.KindSafe,
			Priority: i,
		})
	}
	c, err := config.New(d)
	require.NoError(t, err)
	last := 0
	for i := range c.Routes {
		rank := c.Rank(&c.Routes[i], nil)
		require.GreaterOrEqual(t, rank, last)
		last = rank
	}
	require.Equal(t, config.RankCount-1, last)
}

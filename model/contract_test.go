package model

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseContract(t *testing.T) {
	tests := []struct {
		name     string
		document string
		want     string
	}{
		{
			name:     "smallest",
			document: `{"organisation":"a","rate":1,"burst":2}`,
		},
		{
			name:     "not JSON",
			document: `{`,
			want:     "unexpected EOF",
		},
		{
			name:     "unknown field",
			document: `{"organisation":"a","rate":1,"burst":2,"limit":3}`,
			want:     `unknown field "limit"`,
		},
		{
			name:     "trailing document",
			document: `{"organisation":"a","rate":1,"burst":2}{}`,
			want:     "text after the end",
		},
		{
			name:     "all errors reported together",
			document: `{"organisation":"A","rate":0,"burst":-1,"priority":101,"deadline":"2h","max-tokens":-1}`,
			want:     "organisation: rate: burst: priority: max-tokens: deadline:",
		},
		{
			name:     "rate too large",
			document: `{"organisation":"a","rate":1000000001,"burst":2}`,
			want:     "rate: must be between 1 and 1000000000",
		},
		{
			name:     "duplicate adapter, no versions, unknown current version",
			document: `{"organisation":"a","rate":1,"burst":2,"adapters":[{"name":"x","versions":["v1"],"current":"v2"},{"name":"x","versions":[]}]}`,
			want:     `adapters[0].current: adapters[1].name: adapters[1].versions:`,
		},
		{
			name:     "route cost above the burst, duplicate route",
			document: `{"organisation":"a","rate":1,"burst":2,"routes":[{"name":"r","cost":3},{"name":"r"}]}`,
			want:     `routes[0].cost: routes[1].name:`,
		},
		{
			name:     "key with an invalid hash",
			document: `{"organisation":"a","rate":1,"burst":2,"keys":[{"id":"abc","hash":"00","issued":"2026-12-04T00:00:00Z"}]}`,
			want:     `keys[0].hash:`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseContract([]byte(tt.document))
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			if !strings.HasSuffix(tt.want, ":") {
				require.ErrorContains(t, err, tt.want)
				return
			}
			var fields FieldErrors
			require.ErrorAs(t, err, &fields)
			var paths []string
			for _, f := range fields {
				paths = append(paths, f.Path+":")
			}
			require.Equal(t, tt.want, strings.Join(paths, " "))
		})
	}
}

func TestContractIndexResolve(t *testing.T) {
	c, err := ParseContract([]byte(`{"organisation":"a","rate":1,"burst":2,"adapters":[{"name":"x","versions":["v1","v2"],"current":"v1"}]}`))
	require.NoError(t, err)
	index := NewContractIndex(c)
	tests := []struct {
		requested Adapter
		want      Adapter
		ok        bool
	}{
		{
			requested: Adapter{Name: "x"},
			want:      Adapter{Name: "x", Version: "v1"},
			ok:        true,
		},
		{
			requested: Adapter{Name: "x", Version: "v2"},
			want:      Adapter{Name: "x", Version: "v2"},
			ok:        true,
		},
		{
			requested: Adapter{Name: "x", Version: "v3"},
		},
		{
			requested: Adapter{Name: "y"},
		},
	}
	for _, tt := range tests {
		got, ok := index.Resolve(tt.requested)
		require.Equal(t, tt.ok, ok, "%s", tt.requested)
		if ok {
			require.Equal(t, tt.want, got)
		}
	}
}

func TestKeys(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	text, key := IssueKey(now, "gulf-brine.west")
	other, _ := IssueKey(now, "gulf-brine.west")
	require.NotContains(t, key.Hash, text)
	parsed, err := ParseKey(text)
	require.NoError(t, err)
	require.Equal(t, OrgID("gulf-brine.west"), parsed.Organisation)
	require.Equal(t, key.ID, parsed.ID)
	require.True(t, key.Matches(parsed))
	wrong, err := ParseKey(other)
	require.NoError(t, err)
	require.False(t, key.Matches(wrong))
	for _, bad := range []string{"", "ctk", "ctk.a", "ctk.a.b", "ctk.A.abc.def", "ctk.a.abc.DEF", "xyz.a.abc.def", "ctk.a.abc.def "} {
		_, err := ParseKey(bad)
		require.ErrorIs(t, err, ErrMalformedKey, "%q", bad)
	}
}

func TestParseAdapter(t *testing.T) {
	for _, bad := range []string{"", "@v1", "a@", "a@b@c", "A@v1", "a b@v1", "../a@v1", strings.Repeat("a", MaxNameBytes+1)} {
		_, err := ParseAdapter(bad)
		require.Error(t, err, "%q", bad)
	}
	a, err := ParseAdapter("damage-triage@v2")
	require.NoError(t, err)
	require.Equal(t, Adapter{Name: "damage-triage", Version: "v2"}, a)
}

func TestFleetTakeOutAndPutBack(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var f Fleet
	f = f.TakeOut(now, KindZone, "buchs", "nadia")
	f = f.TakeOut(now, KindTarget, "buchs", "nadia")
	repeated := f.TakeOut(now.Add(time.Hour), KindZone, "buchs", "other")
	require.Equal(t, f, repeated)
	require.NoError(t, f.Validate())
	f = f.PutBack(KindZone, "buchs")
	require.False(t, f.IsOut(KindZone, "buchs"))
	require.True(t, f.IsOut(KindTarget, "buchs"))
}

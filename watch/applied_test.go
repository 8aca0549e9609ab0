package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/store"
)

// Guards against an instance that counts as up to date while a change that it has received is not applied yet.
func TestChangesCountAsKnownOnceApplied(t *testing.T) {
	first := time.Unix(100, 0)
	second := first.Add(time.Second)
	for _, tt := range []struct {
		name string
		take func(f *Follower, e store.Entry)
	}{
		{
			name: "from the store",
			take: func(f *Follower, e store.Entry) {
				f.update(store.Entries{e}, e.Revision, false)
			},
		},
		{
			name: "from another instance",
			take: func(f *Follower, e store.Entry) {
				require.True(t, f.receive(second, PrefixUpdate{
					Prefix:  f.Prefix,
					Before:  1,
					UpTo:    e.Revision,
					Entries: store.Entries{e},
				}, "a"))
			},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &Hub{
				Self:   "b",
				Health: &Health{},
				Peers: func() []Peer {
					return nil
				},
			}
			applied := 0
			f := &Follower{
				Prefix: valuePrefix,
				hub:    h,
				Apply: func(time.Time, []Change) {
					applied++
					require.False(t, h.provenAt().After(first))
				},
			}
			h.Followers = []*Follower{f}
			f.update(nil, 1, true)
			h.cover(first, first, store.Batch{
				Revision: 1,
			}, 0)
			h.cover(second, second, store.Batch{
				Revision: 2,
			}, 0)
			tt.take(f, store.Entry{
				Key:      valuePrefix + "key",
				Value:    []byte("x"),
				Revision: 2,
			})
			require.Equal(t, 1, applied)
			require.Equal(t, second, h.provenAt())
		})
	}
}

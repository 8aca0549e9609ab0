package watch

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/store"
)

// A configuration of hundreds of routes must not fill the links of the instances that pass
// it on: it travels compressed, and its time limit follows its size.
func TestLargeUpdatesAreCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"name":"r-26tta82","path_prefix":"/lohu930/","kind":"streaming"},`), 2000)
	m := Message{
		Parts: []PrefixUpdate{
			{
				Prefix:  "a/",
				UpTo:    7,
				Entries: store.Entries{{Key: "a/config", Value: value, Revision: 7}},
			},
			{
				Prefix:  "b/",
				UpTo:    7,
				Entries: store.Entries{{Key: "b/1", Value: []byte("{}"), Revision: 6}},
			},
		},
	}
	require.Greater(t, m.sendTime(), time.Second)
	require.NoError(t, m.pack())
	require.Less(t, len(m.Parts[0].Packed), len(value)/10)
	require.Less(t, m.sendTime(), 2*sendTimeout)
	require.Empty(t, m.Parts[1].Packed)
	p, err := m.Parts[0].unpacked()
	require.NoError(t, err)
	require.Equal(t, value, p.Entries[0].Value)
}

// A malformed update ends with a log line and leaves the known entries in place.
func TestMalformedUpdateIsIgnored(t *testing.T) {
	p := newFollowerPair(t)
	p.putAndWatch(t, "a/1", "x")
	h := newTestHub("listener")
	h.Followers = []*Follower{p.listener}
	updates := p.queuedUpdates()
	h.Receive(testStart, Message{From: "reader", Parts: updates})
	for _, packed := range [][]byte{{1, 2, 3}, bytes.Repeat([]byte{0xff}, 4096)} {
		h.Receive(testStart, Message{From: "reader", Parts: []PrefixUpdate{{Prefix: "a/", UpTo: 1 << 40, Packed: packed}}})
	}
	require.Equal(t, map[string]string{"a/1": "x"}, p.values)
	require.True(t, p.listener.receive(testStart, positionOfView(t, p.reader), "reader"))
}

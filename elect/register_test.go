package elect

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/memkv"
	"currantstile/store"
)

// A starting fleet pays for each call of each instance: a registration is a lease and one
// write, and only an instance whose earlier process is still registered needs a second one.
func TestRegistrationTakesTwoCalls(t *testing.T) {
	tests := []struct {
		name       string
		registered bool
		want       []string
	}{
		{
			name: "first process",
			want: []string{"grant", "put"},
		},
		{
			name:       "earlier process still registered",
			registered: true,
			want:       []string{"grant", "put", "put"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			kv := &memkv.Store{}
			if tt.registered {
				_, err := kv.Put(context.Background(), store.Write{
					Key:   instancePrefix + "a",
					Value: []byte(`{"peers":"10.0.0.9:1"}`),
				})
				require.NoError(t, err)
			}
			var calls []string
			s := newSession(&store.Instrumented{
				KV: kv,
				Observe: func(call string, _ error) {
					calls = append(calls, call)
				},
			}, "a", time.Now())
			s.lease = ""
			s.register(context.Background())
			require.True(t, s.Registered())
			require.Equal(t, tt.want, calls)
			e, err := kv.Get(context.Background(), instancePrefix+"a")
			require.NoError(t, err)
			require.Contains(t, string(e.Value), "10.0.0.1:1")
		})
	}
}

// A renewal that fails at its first attempt is repeated before the lease ends.
func TestRenewalLeavesTimeForAnother(t *testing.T) {
	const due = leaseTime / renewalsPerLease
	require.Less(t, due+2*(renewTimeout+renewRetryDelay), leaseTime)
}

// Guards against an instance that others call in vain, or that is given all targets, since another
// writer has left an odd entry in place of its record.
func TestOddInstanceRecordIsIgnored(t *testing.T) {
	for _, value := range []string{
		`{"peers":"10.0.0.9:0"}`, `{"peers":"0.0.0.0:80"}`, `{"peers":"10.0.0.9:70000"}`, `{"peers":"10.0.0.9:80","cores":1e308}`,
		`{"peers":"10.0.0.9:80","cores":-1}`, `{"peers":"10.0.0.9:80","link-mbit":1e300}`, `{}`, `[]`, ``,
	} {
		_, err := parseInstance([]byte(value), &instanceValue{})
		require.Error(t, err, value)
	}
	addr, err := parseInstance([]byte(`{"peers":"10.0.0.9:80","cores":0.4,"link-mbit":1000}`), &instanceValue{})
	require.NoError(t, err)
	require.Equal(t, uint16(80), addr.Port())
}

package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/quota"
	"currantstile/store"
)

func TestMayHold(t *testing.T) {
	j := joining{
		at:       testStart,
		revision: 5,
	}
	for _, tt := range []struct {
		name         string
		after        time.Duration
		holders      []string
		acknowledged map[string]store.Revision
		want         bool
	}{
		{
			name: "no holder",
			want: true,
		},
		{
			name:    "a holder never heard of",
			holders: []string{"a"},
		},
		{
			name:    "all acknowledged the record",
			holders: []string{"a", "b"},
			acknowledged: map[string]store.Revision{
				"a": 5,
				"b": 6,
			},
			want: true,
		},
		{
			name:    "one acknowledged an earlier record only",
			holders: []string{"a", "b"},
			acknowledged: map[string]store.Revision{
				"a": 4,
				"b": 6,
			},
		},
		{
			name:    "just before every earlier share has expired",
			after:   settleTime - 1,
			holders: []string{"a"},
		},
		{
			name:    "every earlier share has expired",
			after:   settleTime,
			holders: []string{"a"},
			want:    true,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, mayHold(testStart.Add(tt.after), j, tt.holders, tt.acknowledged))
		})
	}
}

// Guards against shares that exceed the total in any order of joins, ends, restarts and cuts from the store,
// from the others or from both, and against instances that never get a share.
func TestEvenSharesProperty(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0x5e7))
			names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
			if seed%2 == 0 {
				names = names[:5]
			}
			f := newEvenFleet(t)
			f.rng = rng
			f.partialHolders = len(names) > maxEvenHolders
			for _, name := range names[rng.IntN(3):][:1+rng.IntN(3)] {
				f.start(name)
			}
			f.advance(time.Duration(rng.IntN(5)) * time.Second)
			for range 30 {
				f.disturb(rng, names[rng.IntN(len(names))])
				f.advance(time.Duration(rng.IntN(1+rng.IntN(24))) * evenStepInterval)
			}
			for name := range f.allocators {
				f.mend(name)
			}
			f.advance(EvenReclaimDelay + settleTime)
			for name, e := range f.allocators {
				require.Equal(t, quota.TotalWeight/int64(min(len(f.allocators), maxEvenHolders)), e.UsableShare(f.now), name)
			}
		})
	}
}

// disturb starts or ends a process of an instance, or cuts or mends its links.
func (f *evenFleet) disturb(rng *rand.Rand, name string) {
	switch rng.IntN(9) {
	case 0, 1, 2:
		if !f.isolated[name] {
			f.start(name)
		}
	case 3:
		delete(f.allocators, name)
		delete(f.alive, name)
	case 4:
		f.isolated[name] = true
	case 5:
		f.silent[name] = true
	case 6:
		f.isolated[name], f.silent[name] = true, true
	case 7:
		f.mend(name)
	case 8:
		f.late[name] = rng.IntN(int(activationDelay / evenStepInterval))
	}
	if f.isolated[name] {
		// Its entry expires later, or at once.
		if rng.IntN(2) == 0 {
			delete(f.alive, name)
		}
	} else if _, runs := f.allocators[name]; runs {
		f.alive[name] = f.addr(name)
	}
}

// mend mends the links of an instance.
func (f *evenFleet) mend(name string) {
	f.isolated[name], f.silent[name] = false, false
	if _, runs := f.allocators[name]; runs {
		f.alive[name] = f.addr(name)
	}
}

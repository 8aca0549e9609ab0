package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeTime is how long after the store's return an instance takes at most to notice it. Package node takes
// deletions after it for those of targets that have left.
const noticeTime = 2300 * time.Millisecond

// Guards against instances that notice the store's return so late that they keep targets which have left: after
// outages of all lengths, of each kind, around the time limits and pauses of their calls.
func TestReturnOfStoreIsNoticedInTime(t *testing.T) {
	kinds := []string{"silent", "held", "reset", "busy"}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				d := newDisturbedDay(t, rand.New(rand.NewPCG(seed, 8)))
				d.start(ctx)
				from := time.Now().Add(time.Duration(d.rng.IntN(2000)) * time.Millisecond)
				outage := disturbance{
					kind: kinds[seed%4],
					from: from,
					to:   from.Add(time.Duration(500+100*seed) * time.Millisecond),
				}
				d.mu.Lock()
				d.disturbances = append(d.disturbances, outage)
				d.mu.Unlock()
				time.Sleep(time.Until(outage.to.Add(noticeTime + applyTimeout)))
				for _, name := range d.names {
					i := d.instances[name]
					require.LessOrEqual(t, i.hub.LastOutage().Sub(outage.to), noticeTime, "%s, %v", name, outage)
					require.True(t, i.hub.Current(time.Now()), name)
				}
			})
		})
	}
}

package loader

import (
	"context"
	"time"

	"currantstile/cache"
	"currantstile/clock"
)

// noPermitPause is the delay before a load without a permit. It limits an instance
// to its share of the fleet's loads, assuming eight instances.
const noPermitPause = cache.MaxConcurrentLoads * cache.PermitInterval

// waitForPermit waits until a load may start. It reports false if the load starts
// without a permit because the instance that issues permits could not be reached
// or ctx has ended.
func (m *Manager) waitForPermit(ctx context.Context) (cache.PermitID, bool) {
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	for {
		reply, err := m.AcquirePermit(ctx)
		if err != nil {
			m.Log.Warn().Err(err).Msg("manager: cannot request a load permit; loading without one at a reduced rate")
			clock.Sleep(ctx, noPermitPause)
			return 0, false
		}
		if reply.Granted {
			return reply.ID, true
		}
		if !clock.Sleep(ctx, max(reply.Wait, time.Millisecond)) {
			return 0, false
		}
	}
}

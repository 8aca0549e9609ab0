package loader

import (
	"context"
	"time"

	"currantstile/cache"
	"currantstile/clock"
)

// noPermitPause is waited before a load whose permit nobody could be asked for: an
// instance's part of the fleet's loads, were there eight instances.
const noPermitPause = cache.MaxConcurrentLoads * cache.PermitInterval

// waitForPermit waits until a load may start. It reports false where the load
// starts without a permit, because the instance that hands them out cannot be
// reached.
func (m *Manager) waitForPermit(ctx context.Context) (cache.PermitID, bool) {
	m.loadMu.Lock()
	defer m.loadMu.Unlock()
	for {
		reply, err := m.AcquirePermit(ctx)
		if err != nil {
			m.Log.Warn().Err(err).Msg("manager: no permit for a load could be asked for; loading slowly")
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

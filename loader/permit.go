package loader

import (
	"context"
	"time"

	"currantstile/cache"
	"currantstile/clock"
)

// alonePause is waited before a load whose permit nobody could be asked for: an
// instance's part of the fleet's loads, were there eight instances.
const alonePause = cache.PermitsInFlight * cache.PermitInterval

// takePermit waits until a load may start. It reports false where the load
// starts without a permit, because the instance that hands them out cannot be
// reached.
func (m *Manager) takePermit(ctx context.Context) (cache.PermitID, bool) {
	m.loadQueue.Lock()
	defer m.loadQueue.Unlock()
	for {
		reply, err := m.Permit(ctx)
		if err != nil {
			m.Log.Warn().Err(err).Msg("manager: no permit for a load could be asked for; loading slowly")
			clock.Sleep(ctx, alonePause)
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

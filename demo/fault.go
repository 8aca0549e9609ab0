package demo

import (
	"time"

	"currantstile/model"
	"currantstile/sims"
)

// Kill stops an instance without a graceful shutdown. The simulated member service
// still lists the instance for the duration lag; its other faults are reset.
func (f *Fleet) Kill(i int, lag time.Duration) {
	f.mu.Lock()
	f.stopped[i] = true
	f.mu.Unlock()
	f.Instances[i].Kill()
	f.links[i].stop()
	f.Members.SetFaults(sims.Faults{
		Lag: model.Duration(lag),
	})
	f.Members.Replace(time.Now(), f.MemberList())
}

// Partition blocks all calls from peers to the given instances and closes their
// connections, or allows calls again. Calls from these instances to instances that are
// not blocked pass.
func (f *Fleet) Partition(blocked bool, instances ...int) {
	for _, i := range instances {
		f.links[i].setBlocked(blocked)
	}
}

// isStopped reports whether the i-th instance was killed or is being restarted.
func (f *Fleet) isStopped(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[i]
}

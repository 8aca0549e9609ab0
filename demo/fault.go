package demo

import (
	"time"

	"currantstile/model"
	"currantstile/sims"
)

// Kill ends an instance without any shutdown. The platform's list shows it for
// another lag.
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

// Partition cuts all calls to the given instances from their peers, or mends
// them.
func (f *Fleet) Partition(cut bool, instances ...int) {
	for _, i := range instances {
		f.links[i].setBlocked(cut)
	}
}

// isStopped reports whether an instance was ended.
func (f *Fleet) isStopped(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[i]
}

package poison

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// copyInterval is how long no second copy of a request is sent while the first one has no answer: by then its target's end is
	// known to all.
	copyInterval = suspectInterval
	// CopyPatience is how long a copy waits at most for its turn.
	CopyPatience = copyInterval + 500*time.Millisecond
	// copyRenewal is the age of a turn from which it is renewed before the request is sent.
	copyRenewal = copyInterval / 2
	// maxCopies bounds the requests that are remembered.
	maxCopies = 4096
	// forgottenFor is how long after the start of a target its end before that counts as lately.
	forgottenFor = 10 * time.Minute
	// returnTime is how long after the start of an instance a target may come back that had ended before.
	returnTime = 15 * time.Second
	// lostInstances is the number of lost instances from which two of the three ends that block a request may be unknown.
	lostInstances = 2
)

// MayHaveForgotten reports whether reports of ended targets may have been lost with instances: instances have started
// after the others or after the targets, and a target has started within the last ten minutes, so that one may have ended, but not
// long after the start of such an instance. The deployment ran at running already, whatever has started since; that may be
// zero.
//
// At the first start of a deployment targets start within seconds of each other and of the instances, and nothing was lost. The
// reports of a single instance among many are not enough to hide a request that crashes targets: the others have theirs.
func MayHaveForgotten(now, running time.Time, instances, targets []time.Time) bool {
	if len(instances) == 0 || len(targets) == 0 {
		return true
	}
	first := slices.MinFunc(targets, time.Time.Compare)
	if !running.IsZero() && running.Before(first) {
		// No target is left of those that it began with.
		first = running
	}
	begin := first
	if i := slices.MinFunc(instances, time.Time.Compare); i.Before(begin) {
		begin = i
	}
	restarted := 0
	for _, i := range instances {
		if i.Sub(begin) > maxClockError {
			restarted++
		}
	}
	if restarted < min(lostInstances, (len(instances)+1)/2) {
		return false
	}
	last := slices.MaxFunc(instances, time.Time.Compare)
	return slices.ContainsFunc(targets, func(t time.Time) bool {
		return t.Sub(first) > maxClockError && t.Sub(last) < returnTime && now.Sub(t) < forgottenFor
	})
}

// Copies decides, for all instances, when the copies of a request are sent while ends of targets may have been forgotten:
// one after the other, until one has been answered. The zero value is ready for use.
type Copies struct {
	mu     sync.Mutex
	copies map[Feature]sentCopy
	// answered holds when a copy was last answered.
	answered map[Feature]time.Time
}

// Take returns how long a copy has to wait, or zero if it may be sent. A copy that asks again keeps
// its turn, from now on.
func (c *Copies) Take(now time.Time, f Feature, id string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init(now)
	if at, ok := c.answered[f]; ok && now.Sub(at) < copyInterval {
		return 0
	}
	last, ok := c.copies[f]
	if wait := copyInterval - now.Sub(last.at); ok && last.id != id && wait > 0 {
		return wait
	}
	c.copies[f] = sentCopy{
		id: id,
		at: now,
	}
	return 0
}

// RecordAnswered records that a copy was answered: all may be sent for a while.
func (c *Copies) RecordAnswered(now time.Time, f Feature) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init(now)
	delete(c.copies, f)
	c.answered[f] = now
}

// Release gives the turn of a copy back that was not sent.
func (c *Copies) Release(now time.Time, f Feature, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init(now)
	if c.copies[f].id == id {
		delete(c.copies, f)
	}
}

// init makes room. The caller holds the lock.
func (c *Copies) init(now time.Time) {
	if c.copies == nil {
		c.copies = make(map[Feature]sentCopy)
		c.answered = make(map[Feature]time.Time)
	}
	if len(c.copies) >= maxCopies {
		maps.DeleteFunc(c.copies, func(_ Feature, s sentCopy) bool {
			return now.Sub(s.at) >= copyInterval
		})
	}
	if len(c.answered) >= maxCopies {
		maps.DeleteFunc(c.answered, func(_ Feature, at time.Time) bool {
			return now.Sub(at) >= copyInterval
		})
	}
	// Among so many requests the oldest are forgotten with the rest.
	if len(c.copies) >= maxCopies {
		clear(c.copies)
	}
	if len(c.answered) >= maxCopies {
		clear(c.answered)
	}
}

// Turn is the turn of a copy as its instance knows it.
type Turn struct {
	ID string
	At time.Time
}

// Holds reports whether a copy need not ask for its turn again.
func (t Turn) Holds(now time.Time, id string) bool {
	return t.ID == id && now.Sub(t.At) < copyRenewal
}

// Repeated returns the feature that only equal requests share.
func Repeated(features []Feature) (Feature, bool) {
	i := slices.IndexFunc(features, Feature.repeated)
	if i < 0 {
		return "", false
	}
	return features[i], true
}

// AnsweredLately reports whether an answer of the given age, negative for none, lets copies be sent without
// turns.
func AnsweredLately(age time.Duration) bool {
	return age >= 0 && age < copyInterval
}

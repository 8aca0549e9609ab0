package sched

import (
	"sync"
	"time"
)

// RetryBudget limits how often the requests for a service are retried, over all
// instances together: each instance may use its share of the fixed allowance plus
// Ratio times the number of its own requests. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is how many retries are allowed per request, Window the time over
	// which both are counted, and Slack the fixed allowance of the whole fleet.
	Ratio  float64
	Window time.Duration
	Slack  float64
	// StartedAt is when this process started. Its share of the allowance grows
	// over the first window, because the previous process may have used the share
	// up.
	StartedAt time.Time

	mu       sync.Mutex
	services map[string]*windowCounts
	// firstUse is the time of the first call.
	firstUse time.Time
	// sharers is by how many instances the allowance was divided last, and sharersAt when as many
	// were last listed.
	sharers   int
	sharersAt time.Time
}

// budgetBuckets is the number of buckets in the window, and budgetShare the
// fraction of the budget that is used.
const (
	budgetBuckets = 10
	budgetShare   = 0.8
	// unlistedPeriod is how long an instance that is no longer listed counts as one that shares the
	// allowance: the store may reject it while it serves on.
	unlistedPeriod = time.Minute
)

// windowCounts holds one service's requests and retries in the buckets of a
// sliding window.
type windowCounts struct {
	bucket   int64
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
}

// advance moves the window to the given bucket and clears the buckets that it
// enters.
func (c *windowCounts) advance(bucket int64) {
	for n := min(bucket-c.bucket, budgetBuckets); n > 0; n-- {
		i := (bucket - n + 1) % budgetBuckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.bucket = max(c.bucket, bucket)
}

// serviceCounts returns a service's counts with the window moved to now. The
// caller holds mu.
func (b *RetryBudget) serviceCounts(now time.Time, service string) *windowCounts {
	if b.services == nil {
		b.services = make(map[string]*windowCounts)
	}
	c, ok := b.services[service]
	if !ok {
		c = &windowCounts{}
		b.services[service] = c
	}
	if b.firstUse.IsZero() {
		b.firstUse = now
	}
	// Buckets count from the first use, because the time of day may jump.
	c.advance(int64(now.Sub(b.firstUse) / (b.Window / budgetBuckets)))
	return c
}

// RecordRequest counts a new request for a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceCounts(now, service)
	c.requests[c.bucket%budgetBuckets]++
}

// shareOf returns the number of instances that share the allowance, of which the given number is listed
// at present. The caller holds mu.
func (b *RetryBudget) shareOf(now time.Time, listed int) int {
	if listed >= b.sharers || now.Sub(b.sharersAt) > unlistedPeriod {
		b.sharers, b.sharersAt = max(listed, 1), now
	}
	return b.sharers
}

// TakeRetry takes one retry from the budget, of which each of the given number of
// instances has an equal share. It reports false if the budget is exhausted.
func (b *RetryBudget) TakeRetry(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.serviceCounts(now, service)
	requests, retries := 0.0, 0.0
	for i := range budgetBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	rampUp := min(float64(now.Sub(b.StartedAt))/float64(b.Window), 1)
	if retries+1 > budgetShare*(b.Ratio*requests+rampUp*b.Slack/float64(b.shareOf(now, instances))) {
		return false
	}
	c.retries[c.bucket%budgetBuckets]++
	return true
}

package scale

import (
	"time"

	"currantstile/sched"
)

// Load is what one instance has seen of a service's demand in a data centre, as totals since its start.
type Load struct {
	Service string
	Zone    string
	// Placed is the number of requests placed at targets in the data centre, and Tokens that of their prompt
	// tokens. Answered is the number of those that began to run, and Late how many of them did after their
	// objective.
	Placed   int64
	Tokens   int64
	Answered int64
	Late     int64
	// Refused is the number of requests that no target took; they count for the instance's own data centre.
	Refused int64
	// Busy is the time that requests were placed, in seconds summed over the requests, and HeldTokens the same for
	// each of their tokens. Waited is the time that requests waited for a target at an instance in the data centre.
	Busy       float64
	HeldTokens float64
	Waited     float64
}

// Add returns the sum of two loads of the same service and data centre.
func (l Load) Add(o Load) Load {
	l.Service, l.Zone = o.Service, o.Zone
	l.Placed += o.Placed
	l.Tokens += o.Tokens
	l.Answered += o.Answered
	l.Late += o.Late
	l.Refused += o.Refused
	l.Busy += o.Busy
	l.HeldTokens += o.HeldTokens
	l.Waited += o.Waited
	return l
}

// Capacity is what one target can do.
type Capacity struct {
	// Slots is how many requests it runs at once.
	Slots int
	// TokenRate is how many prompt tokens it reads per second, and Tokens how many tokens it holds; 0 if that is
	// no bound.
	TokenRate float64
	Tokens    int64
}

// EngineCapacity returns the capacity of a model engine with so many slots and tokens of memory.
func EngineCapacity(slots, memoryTokens int) Capacity {
	return Capacity{
		Slots:     slots,
		TokenRate: sched.PrefillTokensPerSecond,
		Tokens:    int64(memoryTokens),
	}
}

// Source identifies a run of an instance's process.
type Source struct {
	Instance string
	Started  int64
}

// Meter makes samples from the loads of all instances. The zero value is ready for use; it is not safe for concurrent
// use.
type Meter struct {
	last map[Source]reading
	at   time.Time
}

// reading is the load of an instance and when it was told.
type reading struct {
	load Load
	at   time.Time
}

const (
	// maxRefusedFactor bounds the work that is assumed of requests that no target took: their callers return.
	maxRefusedFactor = 2.0
	// maxGap is the longest time between two samples whose difference counts.
	maxGap = 10 * time.Second
)

// Sample returns the demand since the last call. It reports false for the first one, which there is nothing to
// compare with. What an instance did while it did not answer counts once it does again.
func (m *Meter) Sample(now time.Time, loads map[Source]Load, c Capacity) (Sample, bool) {
	d := now.Sub(m.at)
	first := m.at.IsZero() || d <= 0 || d > maxGap
	if m.last == nil {
		m.last = make(map[Source]reading)
	}
	var sum Load
	for source, l := range loads {
		// Without an earlier value the totals may be those of a long time.
		if before, ok := m.last[source]; ok && now.Sub(before.at) <= maxGap {
			sum = sum.Add(l.since(before.load))
		}
		m.last[source] = reading{
			load: l,
			at:   now,
		}
	}
	for source, r := range m.last {
		if now.Sub(r.at) > maxGap {
			delete(m.last, source)
		}
	}
	m.at = now
	if first {
		return Sample{}, false
	}
	return Sample{
		At:       now,
		Duration: d,
		Work:     work(sum, d, c),
		Answered: float64(sum.Answered),
		Late:     float64(sum.Late),
		Refused:  float64(sum.Refused),
	}, true
}

// since returns what was added to a load since an earlier one.
func (l Load) since(before Load) Load {
	l.Placed = max(l.Placed-before.Placed, 0)
	l.Tokens = max(l.Tokens-before.Tokens, 0)
	l.Answered = max(l.Answered-before.Answered, 0)
	l.Late = max(l.Late-before.Late, 0)
	l.Refused = max(l.Refused-before.Refused, 0)
	l.Busy = max(l.Busy-before.Busy, 0)
	l.HeldTokens = max(l.HeldTokens-before.HeldTokens, 0)
	l.Waited = max(l.Waited-before.Waited, 0)
	return l
}

// work returns how many targets a load keeps busy: the largest of what its requests, its prompts and its memory need.
func work(l Load, d time.Duration, c Capacity) float64 {
	w := 0.0
	if c.Slots > 0 {
		w = (l.Busy + l.Waited) / d.Seconds() / float64(c.Slots)
	}
	if c.TokenRate > 0 {
		w = max(w, float64(l.Tokens)/d.Seconds()/c.TokenRate)
	}
	if c.Tokens > 0 {
		w = max(w, l.HeldTokens/d.Seconds()/float64(c.Tokens))
	}
	if l.Placed > 0 {
		w *= min(1+float64(l.Refused)/float64(l.Placed), maxRefusedFactor)
	} else if l.Refused > 0 {
		w = max(w, 1)
	}
	return w
}

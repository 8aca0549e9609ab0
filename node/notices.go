package node

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"currantstile/avail"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/store"
)

const (
	// noticePrefix holds what answers of targets without a manager said, by target.
	noticePrefix = elect.Prefix + "notices/"
	// maxShareDelay bounds the random delay before a notice is stored: mostly one of the
	// instances that got the same answer stores it, and the others learn it meanwhile.
	maxShareDelay = 300 * time.Millisecond
	// minSharedPushback is the shortest pushback that is stored: a shorter one is over before
	// all have learned it.
	minSharedPushback = 500 * time.Millisecond
	// maxForMS bounds the pushback of a stored notice, in milliseconds.
	maxForMS = int64(time.Hour / time.Millisecond)
)

// storedNotice is the value of a notice's key.
type storedNotice struct {
	Target  string         `json:"target"`
	Started int64          `json:"started"`
	Addr    netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
	// Until is the end of the pushback in Unix milliseconds by the clock of the instance that
	// got the answer, and ForMS what was left of it when it was stored; 0 if there is none.
	Until int64 `json:"until,omitempty"`
	ForMS int64 `json:"for-ms,omitempty"`
	// Limit is what is known of the target's rate limit; nil if nothing.
	Limit *storedLimit `json:"limit,omitempty"`
	// By is the instance that got the answer.
	By string `json:"by"`
}

// storedLimit is a target's rate limit, or that it names none.
type storedLimit struct {
	Named bool    `json:"named"`
	Rate  float64 `json:"rate,omitempty"`
	// At is when the answer that said it came, in Unix milliseconds by the clock of the instance
	// that got it.
	At int64 `json:"at"`
}

// newStoredLimit returns evidence as it is stored; nil if there is none.
func newStoredLimit(now time.Time, e *avail.LimitEvidence) *storedLimit {
	if e == nil {
		return nil
	}
	s := &storedLimit{
		Named: e.Rate < avail.Unlimited,
		At:    now.Add(-e.Age).UnixMilli(),
	}
	if s.Named {
		s.Rate = e.Rate
	}
	return s
}

// evidence returns the stored limit as evidence at now; nil if there is none. The clocks of instances
// may differ, so that it is at least as old as an answer that comes now.
func (s *storedLimit) evidence(now time.Time) *avail.LimitEvidence {
	if s == nil || s.Named && (s.Rate < 0 || math.IsNaN(s.Rate)) {
		return nil
	}
	age := max(now.Sub(time.UnixMilli(s.At)), 0)
	e := &avail.LimitEvidence{
		Rate:    avail.Unlimited,
		SentAge: age,
		Age:     age,
	}
	if s.Named {
		e.Rate = s.Rate
	}
	return e.ForOthers()
}

// isLimitNews reports whether a rate limit differs enough from the one that was stored to be stored as
// well: instances that ask for tokens learn the rest from the one that grants them.
func isLimitNews(stored, rate float64) bool {
	return stored != rate && (stored == avail.Unlimited || rate == avail.Unlimited || rate < stored/2 || rate > stored*2)
}

// pushback returns what is left of the pushback at now. The clocks of instances may differ, so it
// is at most what was left when the notice was stored.
func (v *storedNotice) pushback(now time.Time) time.Duration {
	if v.Until == 0 {
		return 0
	}
	left := time.UnixMilli(v.Until).Sub(now)
	if v.ForMS > 0 {
		left = min(left, time.Duration(min(v.ForMS, maxForMS))*time.Millisecond)
	}
	return left
}

// notices spreads what answers of targets said over the instances through the store.
type notices struct {
	node *Node

	mu sync.Mutex
	// revisions are the revisions of the keys, and pending the targets whose notice will be
	// stored.
	revisions map[string]store.Revision
	pending   map[string]bool
	// limits are the rate limits that were stored last, by target.
	limits map[string]float64
}

func newNotices(n *Node) *notices {
	return &notices{
		node:      n,
		revisions: make(map[string]store.Revision),
		pending:   make(map[string]bool),
		limits:    make(map[string]float64),
	}
}

// share stores a notice after a random delay, unless another instance does so before.
func (s *notices) share(_ time.Time, n avail.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[n.Target] || !n.Leaving && n.Pushback <= 0 && !s.isNews(n) {
		return
	}
	s.pending[n.Target] = true
	known := s.revisions[noticePrefix+n.Target]
	time.AfterFunc(rand.N(maxShareDelay), func() {
		errs.Contain(&s.node.Log, "notices.share", func() {
			s.shareNow(n, known)
		})
	})
}

// shareNow stores a notice unless another instance has done so since the given revision.
func (s *notices) shareNow(n avail.Notice, known store.Revision) {
	now := time.Now()
	s.mu.Lock()
	delete(s.pending, n.Target)
	current := s.revisions[noticePrefix+n.Target]
	s.mu.Unlock()
	t, ok := s.node.registry.View().Target(n.Target)
	if !ok || current != known {
		return
	}
	latest := s.node.avail.NoticeOf(now, t)
	s.mu.Lock()
	news := s.isNews(latest)
	s.mu.Unlock()
	if !latest.Leaving && latest.Pushback < minSharedPushback && !news {
		return
	}
	s.node.screen.enqueue(func(ctx context.Context) bool {
		return s.put(ctx, now, latest, current)
	})
}

// isNews reports whether a notice says something new of a target's rate limit. The caller holds mu.
func (s *notices) isNews(n avail.Notice) bool {
	if n.Limit == nil {
		return false
	}
	stored, ok := s.limits[n.Target]
	if !ok {
		stored = avail.Unlimited
	}
	return isLimitNews(stored, n.Limit.Rate)
}

// setLimit records the rate limit that is stored.
func (s *notices) setLimit(target string, e *avail.LimitEvidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e == nil || e.Rate == avail.Unlimited {
		delete(s.limits, target)
		return
	}
	s.limits[target] = e.Rate
}

// put stores a notice over the revision that is known. It reports whether nothing is left to do: a
// conflict means that another instance has stored one, and a notice that can't be stored now is
// not worth another attempt, since each instance learns it from its own answers.
func (s *notices) put(ctx context.Context, now time.Time, n avail.Notice, expect store.Revision) bool {
	v := storedNotice{
		Target:  n.Target,
		Started: n.Started,
		Addr:    n.Addr,
		Leaving: n.Leaving,
		Limit:   newStoredLimit(now, n.Limit),
		By:      s.node.Settings.Name,
	}
	if n.Pushback > 0 {
		v.Until = now.Add(n.Pushback).UnixMilli()
		v.ForMS = n.Pushback.Milliseconds()
	}
	value, err := json.Marshal(v)
	if err != nil {
		s.node.Log.Error().Err(err).Str("target", n.Target).Msg("node: cannot encode a notice")
		return true
	}
	lease, err := s.node.screen.reportLease(ctx, now)
	if err == nil {
		var rev store.Revision
		rev, err = s.node.KV.Put(ctx, store.Write{
			Key:    noticePrefix + n.Target,
			Value:  value,
			Expect: expect,
			Lease:  lease,
		})
		if err == nil {
			s.setRevision(noticePrefix+n.Target, rev)
			s.setLimit(n.Target, n.Limit)
		}
	}
	s.node.Log.Info().Err(err).Str("target", n.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).Float64("limit", n.Limit.NamedRate()).Msg("node: notice of a target stored for the other instances")
	return true
}

// setRevision records the revision of a key. It reports whether it is a new one.
func (s *notices) setRevision(key string, rev store.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev <= s.revisions[key] {
		return false
	}
	s.revisions[key] = rev
	return true
}

// apply applies a change of the store.
func (s *notices) apply(now time.Time, e store.Entry) {
	if !strings.HasPrefix(e.Key, noticePrefix) {
		return
	}
	if e.Deleted {
		s.mu.Lock()
		delete(s.revisions, e.Key)
		delete(s.limits, strings.TrimPrefix(e.Key, noticePrefix))
		s.mu.Unlock()
		return
	}
	if !s.setRevision(e.Key, e.Revision) {
		return
	}
	var v storedNotice
	if err := json.Unmarshal(e.Value, &v); err != nil {
		s.node.Log.Warn().Err(err).Str("key", e.Key).Msg("node: invalid notice; ignoring it")
		return
	}
	n := avail.Notice{
		Target:  v.Target,
		Started: v.Started,
		Addr:    v.Addr,
		Leaving: v.Leaving,
	}
	n.Pushback = v.pushback(now)
	n.Limit = v.Limit.evidence(now)
	s.setLimit(n.Target, n.Limit)
	if s.node.avail.Record(now, n) {
		s.node.Log.Info().Str("target", n.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).Float64("limit", n.Limit.NamedRate()).Str("by", v.By).Msg("node: target takes no requests or names a limit, by another instance")
	}
}

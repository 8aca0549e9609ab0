package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"currantstile/avail"
	"currantstile/elect"
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
	// By is the instance that got the answer.
	By string `json:"by"`
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
}

func newNotices(n *Node) *notices {
	return &notices{
		node:      n,
		revisions: make(map[string]store.Revision),
		pending:   make(map[string]bool),
	}
}

// share stores a notice after a random delay, unless another instance does so before.
func (s *notices) share(_ time.Time, n avail.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[n.Target] {
		return
	}
	s.pending[n.Target] = true
	known := s.revisions[noticePrefix+n.Target]
	time.AfterFunc(rand.N(maxShareDelay), func() {
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
		if !latest.Leaving && latest.Pushback < minSharedPushback {
			return
		}
		s.node.screen.enqueue(func(ctx context.Context) bool {
			return s.put(ctx, now, latest, current)
		})
	})
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
		}
	}
	s.node.Log.Info().Err(err).Str("target", n.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).Msg("node: notice of a target stored for the other instances")
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
	if s.node.avail.Record(now, n) {
		s.node.Log.Info().Str("target", n.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).Str("by", v.By).Msg("node: target takes no requests, by another instance")
	}
}

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/clock"
	"currantstile/elect"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/poison"
	"currantstile/proxy"
	"currantstile/route"
	"currantstile/store"
	"currantstile/watch"
	"currantstile/wire"
)

const (
	// reportPrefix holds the reports of ended targets, blockPrefix the blocked features.
	reportPrefix = elect.Prefix + "crashes/"
	blockPrefix  = elect.Prefix + "blocked/"
	// reportLifetime is how long reports are kept, by a lease that is granted anew when
	// half of its time has passed. It is the longest lease that the store grants.
	reportLifetime = 10 * time.Minute
	// screenInterval is the interval of the checks for features that need a decision, and
	// decisionInterval the least time between two questions to all instances.
	screenInterval   = 100 * time.Millisecond
	decisionInterval = 500 * time.Millisecond
	// answersTimeout limits the question to all instances when they last saw an answer.
	answersTimeout = 300 * time.Millisecond
	// claimTimeout limits the write that claims a trial. claimRetryAfter is the retry delay
	// for callers if it was not claimed.
	claimTimeout    = 300 * time.Millisecond
	claimRetryAfter = time.Second
	// writeRetryDelay is the delay after a failed write, and maxWrites bounds the writes
	// that wait for the store.
	writeRetryDelay = 500 * time.Millisecond
	maxWrites       = 64
)

// screen keeps requests that crash targets from being sent. It stores what the ledger
// decides and feeds it with what all instances have stored.
type screen struct {
	node   *Node
	ledger *poison.Ledger
	turns  poison.Turns
	copies copies
	// writes are the pending writes; each is repeated until it reports that it is done.
	writes chan func(context.Context) bool
	// decidedAt is when all instances were last asked. Only run uses it.
	decidedAt time.Time

	mu sync.Mutex
	// blockKeys are the features by their key, and revisions the revisions of the keys.
	blockKeys map[string]poison.Feature
	revisions map[poison.Feature]store.Revision
	lease     store.LeaseID
	leasedAt  time.Time
	reports   int
	// lost are the keys that the store has lost and that are written again.
	lost map[string]bool
}

var _ proxy.Screen = (*screen)(nil)

func newScreen(n *Node) *screen {
	return &screen{
		node: n,
		copies: copies{
			turns: make(map[poison.Feature]poison.Turn),
		},
		ledger: &poison.Ledger{
			Self:    n.Settings.Name,
			Started: n.started,
		},
		writes:    make(chan func(context.Context) bool, maxWrites),
		blockKeys: make(map[string]poison.Feature),
		revisions: make(map[poison.Feature]store.Revision),
		lost:      make(map[string]bool),
	}
}

// blockKey returns the store key of a feature's block.
func blockKey(f poison.Feature) string {
	return fmt.Sprintf("%s%016x", blockPrefix, xxhash.Sum64String(string(f)))
}

// Check implements proxy.Screen. It claims a trial that is due.
func (s *screen) Check(ctx context.Context, now time.Time, id string, features []poison.Feature) poison.Decision {
	switch d := s.ledger.Check(now, features).(type) {
	case poison.TrialDue:
		if s.claimTrial(ctx, id, d.Feature) {
			return d
		}
		return poison.Blocked{
			Feature:    d.Feature,
			RetryAfter: claimRetryAfter,
		}
	case poison.Suspected:
		if wait := s.turns.Take(now, id, d, s.rank(d.Feature)); wait > 0 {
			return poison.Blocked{
				Feature:    d.Feature,
				RetryAfter: wait,
			}
		}
		return s.checkCopy(ctx, now, id, features, d)
	case poison.Allowed:
		return s.checkCopy(ctx, now, id, features, d)
	default:
		return d
	}
}

// rank returns this instance's place in the order in which the instances send copies of a
// suspected request.
func (s *screen) rank(f poison.Feature) int {
	first := route.TopBy(string(f), s.node.registry.View().Instances(), func(i *fleet.Instance) string {
		return i.Name
	}, poison.MaxTurnRank, func(*fleet.Instance) bool {
		return true
	})
	rank := slices.IndexFunc(first, func(i fleet.Instance) bool {
		return i.Name == s.node.Settings.Name
	})
	if rank < 0 {
		return poison.MaxTurnRank
	}
	return rank
}

// claimTrial claims the trial of a feature for a request, so that no other request is sent
// for it. It reports whether it succeeded.
func (s *screen) claimTrial(ctx context.Context, id string, f poison.Feature) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	b, ok := s.ledger.BlockOf(f)
	if !ok {
		return true
	}
	b.Trials++
	err := s.putBlock(ctx, b)
	s.node.Log.Info().Str("request", id).Str("feature", string(f)).Int("trials", b.Trials).Err(err).Msg("poison: trial of a blocked feature claimed")
	return err == nil
}

// putBlock writes a block over the revision that is known, and applies it.
func (s *screen) putBlock(ctx context.Context, b poison.Block) error {
	value, err := json.Marshal(b)
	if err != nil {
		return errs.WithOp(err, "screen.putBlock")
	}
	s.mu.Lock()
	expect := s.revisions[b.Feature]
	s.mu.Unlock()
	rev, err := s.node.KV.Put(ctx, store.Write{
		Key:    blockKey(b.Feature),
		Value:  value,
		Expect: expect,
	})
	if err != nil {
		return errs.WithOp(err, "screen.putBlock")
	}
	s.applyBlock(time.Now(), store.Entry{
		Key:      blockKey(b.Feature),
		Value:    value,
		Revision: rev,
	})
	return nil
}

// RecordAnswered implements proxy.Screen. An answer to a request with a blocked feature
// clears the feature.
func (s *screen) RecordAnswered(now, sentAt time.Time, id string, features []poison.Feature) {
	s.endCopy(id, features, true)
	for _, f := range s.ledger.RecordAnswered(now, sentAt, features) {
		s.node.Log.Info().Str("request", id).Str("feature", string(f)).Msg("poison: answer to a request with a blocked feature; clearing the feature")
		s.ledger.ApplyBlock(now, f, nil)
		s.enqueue(func(ctx context.Context) bool {
			return s.deleteBlock(ctx, f)
		})
	}
}

// deleteBlock deletes a block. It reports whether nothing is left to do.
func (s *screen) deleteBlock(ctx context.Context, f poison.Feature) bool {
	s.mu.Lock()
	rev, ok := s.revisions[f]
	s.mu.Unlock()
	if !ok {
		return true
	}
	err := s.node.KV.Delete(ctx, blockKey(f), rev)
	if store.IsConflict(err) {
		// A trial was claimed meanwhile, or another instance deleted the block.
		e, readErr := s.node.KV.Get(ctx, blockKey(f))
		if readErr != nil {
			return readErr == store.ErrNotFound
		}
		err = s.node.KV.Delete(ctx, blockKey(f), e.Revision)
	}
	return err == nil
}

// RecordEnded implements proxy.Screen.
func (s *screen) RecordEnded(now time.Time, ended []poison.Ended) {
	r := s.ledger.Report(now, ended)
	if len(r.Ended) == 0 {
		return
	}
	value, err := json.Marshal(r)
	if err != nil {
		s.node.Log.Error().Err(err).Msg("poison: cannot encode a report")
		return
	}
	s.mu.Lock()
	s.reports++
	key := fmt.Sprintf("%s%s/%d-%d", reportPrefix, s.node.Settings.Name, s.node.started.UnixMilli(), s.reports)
	s.mu.Unlock()
	s.ledger.ApplyReport(now, key, &r)
	s.node.Log.Info().Str("key", key).Str("report", string(value)).Msg("poison: targets ended; reporting the features of interrupted requests")
	s.enqueue(func(ctx context.Context) bool {
		return s.putReport(ctx, key, value)
	})
}

// putReport writes a report. It reports whether nothing is left to do.
func (s *screen) putReport(ctx context.Context, key string, value []byte) bool {
	lease, err := s.reportLease(ctx, time.Now())
	if err != nil {
		return false
	}
	_, err = s.node.KV.Put(ctx, store.Write{
		Key:   key,
		Value: value,
		Lease: lease,
	})
	if err != nil && !store.IsConflict(err) {
		// The lease may have ended while the store was away.
		s.mu.Lock()
		s.lease = ""
		s.mu.Unlock()
		return false
	}
	// A conflict means that an earlier attempt took effect.
	return true
}

// reportLease returns the lease of new reports.
func (s *screen) reportLease(ctx context.Context, now time.Time) (store.LeaseID, error) {
	s.mu.Lock()
	lease, leasedAt := s.lease, s.leasedAt
	s.mu.Unlock()
	if lease != "" && now.Sub(leasedAt) < reportLifetime/2 {
		return lease, nil
	}
	lease, err := s.node.KV.Grant(ctx, reportLifetime)
	if err != nil {
		return "", errs.WithOp(err, "screen.reportLease")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.leasedAt = lease, now
	return lease, nil
}

// enqueue adds a write. If too many are pending, it is dropped.
func (s *screen) enqueue(write func(context.Context) bool) {
	select {
	case s.writes <- write:
	default:
		s.node.Log.Warn().Int("pending", maxWrites).Msg("poison: too many writes are pending; dropping one")
	}
}

// runWrites makes the pending writes until ctx ends.
func (s *screen) runWrites(ctx context.Context) {
	for {
		select {
		case write := <-s.writes:
			// A write that panics is given up.
			errs.Contain(&s.node.Log, "screen.runWrites", func() {
				for !write(ctx) {
					if !clock.Sleep(ctx, writeRetryDelay) {
						return
					}
				}
			})
		case <-ctx.Done():
			return
		}
	}
}

// run decides about features until ctx ends.
func (s *screen) run(ctx context.Context) {
	for clock.Sleep(ctx, screenInterval) {
		errs.Contain(&s.node.Log, "screen.run", func() {
			s.step(ctx, time.Now())
		})
	}
}

// step decides about features if some are due.
func (s *screen) step(ctx context.Context, now time.Time) {
	s.updateForgotten(now)
	for _, u := range s.ledger.Undecided() {
		s.node.Log.Info().Str("feature", string(u.Feature)).Int("targets", u.Targets).Str("reason", u.Reason).Msg("poison: no decision about a feature")
	}
	if now.Sub(s.decidedAt) < decisionInterval {
		return
	}
	if candidates := s.ledger.Candidates(now); len(candidates) > 0 {
		s.decidedAt = now
		s.decide(ctx, candidates)
	}
}

// decide asks all instances about the candidates and blocks those that no one has seen
// answered.
func (s *screen) decide(ctx context.Context, candidates []poison.Candidate) {
	asked := time.Now()
	answered := s.lastAnswers(ctx, candidates)
	for _, c := range candidates {
		line := s.node.Log.Info().Str("feature", string(c.Feature)).Dur("age", c.Age)
		if age, ok := answered[c.Feature]; ok {
			line.Dur("answered", age)
		}
		line.Msg("poison: deciding about a feature")
	}
	for _, b := range s.ledger.Decide(asked, candidates, answered) {
		err := s.putBlock(ctx, b)
		if err == nil || store.IsConflict(err) {
			continue
		}
		// Without the store, at least this instance blocks the feature.
		s.node.Log.Warn().Err(err).Str("feature", string(b.Feature)).Msg("poison: block not stored; trying again")
		s.ledger.ApplyBlock(time.Now(), b.Feature, &b)
		s.enqueue(func(ctx context.Context) bool {
			if _, still := s.ledger.BlockOf(b.Feature); !still {
				return true
			}
			err := s.putBlock(ctx, b)
			return err == nil || store.IsConflict(err)
		})
	}
}

// lastAnswers returns how long ago any instance that replies in time saw an answer to a
// request with each candidate.
func (s *screen) lastAnswers(ctx context.Context, candidates []poison.Candidate) map[poison.Feature]time.Duration {
	ctx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	args := wire.LastAnswersArgs{}
	for _, c := range candidates {
		args.Features = append(args.Features, c.Feature)
		if s := poison.Service(c.Service); !slices.Contains(args.Features, s) {
			args.Features = append(args.Features, s)
		}
	}
	answered := make(map[poison.Feature]time.Duration)
	var mu sync.Mutex
	merge := func(ages []time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		for i, f := range args.Features {
			if i < len(ages) && ages[i] >= 0 {
				if old, ok := answered[f]; !ok || ages[i] < old {
					answered[f] = ages[i]
				}
			}
		}
	}
	merge(s.ledger.LastAnswers(time.Now(), args.Features))
	var wg sync.WaitGroup
	for _, i := range s.node.registry.View().Instances() {
		if i.Name == s.node.Settings.Name {
			continue
		}
		wg.Go(func() {
			errs.Contain(&s.node.Log, "screen.lastAnswers", func() {
				var reply wire.LastAnswersReply
				// An instance that does not reply is not waited for: the others' answers
				// decide.
				if err := s.node.pool.Call(ctx, i.Peers, wire.MethodLastAnswers, args, &reply); err != nil {
					s.node.Log.Debug().Err(err).Str("instance", i.Name).Msg("poison: no reply about last answers")
					return
				}
				merge(reply.Ages)
			})
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	return answered
}

// apply applies a change of the store.
func (s *screen) apply(now time.Time, c watch.Change) {
	switch {
	case strings.HasPrefix(c.Entry.Key, reportPrefix):
		s.applyReport(now, c.Entry)
	case strings.HasPrefix(c.Entry.Key, blockPrefix):
		s.applyBlock(now, c.Entry)
	}
}

func (s *screen) applyReport(now time.Time, e store.Entry) {
	if s.noteLost(e) {
		s.restoreLater(e.Key, s.restoreReport)
		return
	}
	if e.Deleted {
		s.ledger.ApplyReport(now, e.Key, nil)
		return
	}
	r, err := poison.DecodeReport(e.Value)
	if err != nil {
		s.node.Log.Warn().Err(err).Str("key", e.Key).Msg("poison: invalid report; ignoring it")
		return
	}
	s.ledger.ApplyReport(now, e.Key, r)
}

// applyBlock applies a change of a block, unless a later one is known.
func (s *screen) applyBlock(now time.Time, e store.Entry) {
	lost := s.noteLost(e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost {
		if f, ok := s.blockKeys[e.Key]; ok {
			delete(s.revisions, f)
			s.restoreLater(e.Key, s.restoreBlock)
		}
		return
	}
	if e.Deleted {
		f, ok := s.blockKeys[e.Key]
		if !ok || e.Revision < s.revisions[f] {
			return
		}
		delete(s.blockKeys, e.Key)
		delete(s.revisions, f)
		if s.ledger.ApplyBlock(now, f, nil) {
			s.node.Log.Info().Str("feature", string(f)).Msg("poison: feature cleared")
		}
		return
	}
	b, err := poison.DecodeBlock(e.Value)
	if err != nil {
		s.node.Log.Warn().Err(err).Str("key", e.Key).Msg("poison: invalid block; ignoring it")
		return
	}
	if e.Revision <= s.revisions[b.Feature] {
		return
	}
	newEra := s.revisions[b.Feature].Era() < e.Revision.Era()
	s.blockKeys[e.Key], s.revisions[b.Feature] = b.Feature, e.Revision
	if known, ok := s.ledger.BlockOf(b.Feature); ok && newEra && known.Trials > b.Trials {
		// The store has lost trials; they count, or the feature would be tried again too soon.
		s.lost[e.Key] = true
		s.restoreLater(e.Key, s.restoreBlock)
		return
	}
	if s.ledger.ApplyBlock(now, b.Feature, b) {
		s.node.Log.Info().Str("feature", string(b.Feature)).Str("targets", strings.Join(b.Targets, " ")).Str("by", b.By).Int("trials", b.Trials).
			Msg("poison: feature blocked; requests with it crashed these targets")
	}
}

// PoisonService exposes the ledger through methods with the signatures that net/rpc
// requires.
type PoisonService struct {
	ledger *poison.Ledger
	copies *copies
}

// Answers serves wire.MethodLastAnswers.
func (s *PoisonService) Answers(args wire.LastAnswersArgs, reply *wire.LastAnswersReply) (err error) {
	defer errs.Recover("PoisonService.Answers", &err)
	reply.Ages = s.ledger.LastAnswers(time.Now(), args.Features)
	return nil
}

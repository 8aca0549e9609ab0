package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/poison"
	"currantstile/wire"
)

const (
	// copyPoll is the interval at which a waiting copy asks for its turn.
	copyPoll = 50 * time.Millisecond
	// copyEndTimeout limits the message that a copy has ended.
	copyEndTimeout = time.Second
	// maxTurns bounds the turns that an instance remembers.
	maxTurns = 4096
)

// copies lets equal requests be sent one at a time while ends of targets may have been forgotten.
type copies struct {
	// own decides about the requests that this instance holds.
	own poison.Copies
	// known is set while no end can have been forgotten.
	known atomic.Bool

	mu sync.Mutex
	// turns are the turns of copies at this instance.
	turns map[poison.Feature]poison.Turn
	// unheardSince is when another instance was first asked for a turn in vain since one responded.
	unheardSince time.Time
}

// updateForgotten decides whether ends of targets may have been forgotten.
func (s *screen) updateForgotten(now time.Time) {
	view := s.node.registry.View()
	var instances, targets []time.Time
	for _, i := range view.Instances() {
		instances = append(instances, time.UnixMilli(i.Started))
	}
	for t := range view.Targets() {
		targets = append(targets, time.UnixMilli(t.Started))
	}
	running, ok := s.node.limiter.allocator.RunningSince()
	known := ok && !poison.MayHaveForgotten(now, running, instances, targets)
	if s.copies.known.Swap(known) != known {
		s.node.Log.Info().Bool("known", known).Msg("poison: whether the ends of targets are known has changed")
	}
}

// copyID names a copy of a request at this instance.
func (s *screen) copyID(id string) string {
	return s.node.Settings.Name + "/" + id
}

// checkCopy lets a request wait while a copy of it has its turn, if decision says that it may be sent. It returns
// Blocked if that takes too long.
func (s *screen) checkCopy(ctx context.Context, now time.Time, id string, features []poison.Feature, decision poison.Decision) poison.Decision {
	f, ok := poison.Repeated(features)
	_, suspected := decision.(poison.Suspected)
	if !ok || !suspected && s.copies.known.Load() {
		return decision
	}
	if !suspected && poison.AnsweredLately(s.ledger.LastAnswers(now, []poison.Feature{f})[0]) {
		return decision
	}
	s.copies.mu.Lock()
	held := s.copies.turns[f].Holds(now, id)
	s.copies.mu.Unlock()
	if held {
		return decision
	}
	for start := now; ; now = time.Now() {
		wait := s.askTurn(ctx, wire.CopyArgs{
			Feature: f,
			ID:      s.copyID(id),
		})
		if wait <= 0 {
			s.copies.take(now, f, id)
			if waited := now.Sub(start); waited > 0 {
				s.node.Log.Info().Str("request", id).Str("feature", string(f)).Dur("waited", waited).Msg("poison: copy of a request sent after another one")
			}
			return decision
		}
		if now.Sub(start) >= poison.CopyPatience || !clock.Sleep(ctx, min(wait, copyPoll)) {
			s.node.Log.Info().Str("request", id).Str("feature", string(f)).Msg("poison: copy of a request not sent while another one has no answer")
			return poison.Blocked{
				Feature:    f,
				RetryAfter: wait,
			}
		}
		// Targets may have ended under the other copy.
		switch d := s.ledger.Check(time.Now(), features).(type) {
		case poison.Allowed:
		case poison.Suspected:
			decision = d
		default:
			return s.Check(ctx, time.Now(), id, features)
		}
	}
}

// askTurn returns how long a copy has to wait, or zero if it may be sent.
func (s *screen) askTurn(ctx context.Context, args wire.CopyArgs) time.Duration {
	reply, holder := s.node.router.AskCopy(ctx, args, s.copies.serve)
	switch {
	case holder == s.node.Settings.Name:
		return reply.Wait
	case holder != "":
		s.copies.recordHeard()
		return reply.Wait
	case ctx.Err() != nil || !s.copies.decidesAlone(time.Now()):
		return copyPoll
	default:
		return s.copies.serve(args).Wait
	}
}

// endCopy tells that a copy was answered, or not sent.
func (s *screen) endCopy(id string, features []poison.Feature, answered bool) {
	f, ok := poison.Repeated(features)
	if !ok || !s.copies.drop(f, id) {
		return
	}
	args := wire.CopyArgs{
		Feature:  f,
		ID:       s.copyID(id),
		Answered: answered,
		Unsent:   !answered,
	}
	go errs.Contain(&s.node.Log, "screen.endCopy", func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyEndTimeout)
		defer cancel()
		if _, holder := s.node.router.AskCopy(ctx, args, s.copies.serve); holder == "" {
			s.copies.serve(args)
		}
	})
}

// RecordHarmless implements proxy.Screen.
func (s *screen) RecordHarmless(_ time.Time, id string, features []poison.Feature) {
	s.endCopy(id, features, false)
}

// take records a turn of a copy at this instance.
func (c *copies) take(now time.Time, f poison.Feature, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.turns) >= maxTurns {
		clear(c.turns)
	}
	c.turns[f] = poison.Turn{
		ID: id,
		At: now,
	}
}

// recordHeard records that another instance has decided about a turn.
func (c *copies) recordHeard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unheardSince = time.Time{}
}

// decidesAlone records that no other instance has responded, and reports whether none has for as long as a copy waits: an
// instance that is cut off decides for itself then, as its callers would all be refused.
func (c *copies) decidesAlone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unheardSince.IsZero() {
		c.unheardSince = now
	}
	return now.Sub(c.unheardSince) >= poison.CopyPatience
}

// drop removes the turn of a copy. It reports whether there was one.
func (c *copies) drop(f poison.Feature, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.turns[f]; !ok || t.ID != id {
		return false
	}
	delete(c.turns, f)
	return true
}

// serve answers the message of an instance about a copy.
func (c *copies) serve(args wire.CopyArgs) wire.CopyReply {
	now := time.Now()
	switch {
	case args.Answered:
		c.own.RecordAnswered(now, args.Feature)
	case args.Unsent:
		c.own.Release(now, args.Feature, args.ID)
	default:
		return wire.CopyReply{
			Wait: c.own.Take(now, args.Feature, args.ID),
		}
	}
	return wire.CopyReply{}
}

// Copy serves wire.MethodCopy.
func (s *PoisonService) Copy(args wire.CopyArgs, reply *wire.CopyReply) (err error) {
	defer errs.Recover("PoisonService.Copy", &err)
	*reply = s.copies.serve(args)
	return nil
}

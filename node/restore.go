package node

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/poison"
	"currantstile/route"
	"currantstile/store"
)

// restoreStep is the delay with which the instances write again what the store has lost, one after the other:
// the write of one reaches the others within it.
const restoreStep = 300 * time.Millisecond

// noteLost records whether the store has lost a key. It reports whether it has just done so.
func (s *screen) noteLost(e store.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.Rewound {
		delete(s.lost, e.Key)
		return false
	}
	s.lost[e.Key] = true
	return true
}

// isLost reports whether a key has not been written again.
func (s *screen) isLost(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost[key]
}

// restoreLater writes a key again when it is this instance's turn, unless another one has done so: the one
// whose report it is comes first, then some in the key's order, then all others.
func (s *screen) restoreLater(key string, restore func(ctx context.Context, key string) bool) {
	order := route.TopBy(key, s.node.registry.View().Instances(), func(i *fleet.Instance) string {
		return i.Name
	}, poison.MaxTurnRank, func(*fleet.Instance) bool {
		return true
	})
	turn := 1 + slices.IndexFunc(order, func(i fleet.Instance) bool {
		return i.Name == s.node.Settings.Name
	})
	switch {
	case strings.HasPrefix(key, reportPrefix+s.node.Settings.Name+"/"):
		turn = 0
	case turn == 0:
		turn = poison.MaxTurnRank + 1
	}
	time.AfterFunc(time.Duration(turn)*restoreStep, func() {
		errs.Contain(&s.node.Log, "screen.restore", func() {
			if !s.isLost(key) {
				return
			}
			s.node.Log.Info().Str("key", key).Int("turn", turn).Msg("poison: the store has lost a key; writing it again")
			s.enqueue(func(ctx context.Context) bool {
				return !s.isLost(key) || restore(ctx, key)
			})
		})
	})
}

// restoreReport writes a report again. It reports whether nothing is left to do.
func (s *screen) restoreReport(ctx context.Context, key string) bool {
	r, ok := s.ledger.ReportOf(key)
	if !ok {
		return true
	}
	value, err := json.Marshal(r)
	if err != nil {
		s.node.Log.Error().Err(err).Msg("poison: cannot encode a report")
		return true
	}
	return s.putReport(ctx, key, value)
}

// restoreBlock writes a block again. It reports whether nothing is left to do.
func (s *screen) restoreBlock(ctx context.Context, key string) bool {
	s.mu.Lock()
	f := s.blockKeys[key]
	s.mu.Unlock()
	b, ok := s.ledger.BlockOf(f)
	if !ok {
		return true
	}
	err := s.putBlock(ctx, b)
	return err == nil || store.IsConflict(err)
}

package node

import (
	"context"
	"encoding/json"
	"time"

	"currantstile/elect"
	"currantstile/store"
)

const (
	// markKey holds the era in which the store has been for markDelay, so that an instance that starts need
	// not wait for what others write again after a rewind.
	markKey   = elect.Prefix + "era"
	markDelay = 30 * time.Second
)

// eraMark is the value of markKey.
type eraMark struct {
	Era store.Era `json:"era"`
}

// isOld reports whether an era is marked as old. The mark of an earlier era says nothing of this one.
func (m eraMark) isOld(era store.Era) bool {
	return era > 0 && m.Era == era
}

// mark reads whether the era is old, and marks it if that is due and this instance's to do.
func (v *versions) mark(ctx context.Context, era store.Era, due bool) {
	var m eraMark
	e, ok := v.node.instanceFollower.Lookup(markKey)
	// A value that can't be read is no mark.
	known := ok && json.Unmarshal(e.Value, &m) == nil && m.isOld(era)
	v.old.Store(known)
	if known || !due || !v.isFirst() {
		return
	}
	value, err := json.Marshal(eraMark{
		Era: era,
	})
	if err != nil {
		v.node.Log.Error().Err(err).Msg("node: cannot encode the mark of an era")
		return
	}
	_, err = v.node.KV.Put(ctx, store.Write{
		Key:    markKey,
		Value:  value,
		Expect: e.Revision,
	})
	v.node.Log.Debug().Err(err).Uint64("era", uint64(era)).Msg("node: era of the store marked as old")
}

// isFirst reports whether this instance's name sorts first.
func (v *versions) isFirst() bool {
	for _, i := range v.node.registry.View().Instances() {
		if i.Name < v.node.Settings.Name {
			return false
		}
	}
	return true
}

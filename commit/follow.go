package commit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/clock"
	"currantstile/model"
	"currantstile/store"
)

const (
	// watchTimeout bounds how long the loss of a connection to the store goes unnoticed if
	// it causes no error.
	watchTimeout = 4 * time.Second
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Snapshot is a complete accepted configuration, in the form that instances exchange
// while the store cannot be reached.
type Snapshot struct {
	Manifest  Manifest
	Fleet     model.Fleet
	Contracts model.Contracts
}

// Peers provides the configurations in force on other instances.
type Peers interface {
	// Newer requests the configuration of another instance, and returns it and true if
	// it is newer than have. It returns an error if no instance responded.
	Newer(ctx context.Context, have Revision) (Snapshot, bool, error)
}

// Follower keeps an instance's view up to date. Its exported fields must be set
// before Run.
type Follower struct {
	KV store.KV
	// Peers is queried while the store cannot be reached; it may be nil.
	Peers Peers
	Log   log.Logger

	view atomic.Pointer[View]
	// confirmedAt is when the store last confirmed the view.
	confirmedAt atomic.Pointer[time.Time]
	// lastContact is when the store or another instance last responded.
	lastContact atomic.Pointer[time.Time]
	mu          sync.Mutex
	waiters     []chan struct{}
}

// View returns the configuration in force; it is never nil.
func (f *Follower) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return EmptyView()
}

// ConfirmedAt returns when the store last confirmed the view, or the zero time if it
// never has.
func (f *Follower) ConfirmedAt() time.Time {
	return valueOf(f.confirmedAt.Load())
}

// valueOf returns the time that at points to, or the zero time.
func valueOf(at *time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return *at
}

// recordConfirmed records that the store confirmed the view.
func (f *Follower) recordConfirmed(now time.Time) {
	f.confirmedAt.Store(&now)
	f.lastContact.Store(&now)
}

// IsolatedFor returns the time since the store or another instance last responded. A
// configuration accepted during that time is unknown to this instance.
func (f *Follower) IsolatedFor(now time.Time) time.Duration {
	return now.Sub(valueOf(f.lastContact.Load()))
}

// fetchFromPeers installs a newer configuration from another instance, which may still
// reach the store.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	s, newer, err := f.Peers.Newer(ctx, f.View().Revision())
	if err != nil {
		return
	}
	now := time.Now()
	f.lastContact.Store(&now)
	if newer && f.install(s.view()) {
		f.Log.Info().Msgf("spread: revision %d is in force, received from another instance", s.Manifest.Revision)
	}
}

// Snapshot returns the configuration in force if it is newer than have.
func (f *Follower) Snapshot(have Revision) (Snapshot, bool) {
	v := f.View()
	if v.Revision() <= have {
		return Snapshot{}, false
	}
	s := Snapshot{
		Manifest: v.Manifest,
		Fleet:    v.Fleet,
	}
	for _, org := range v.Organisations() {
		x, _ := v.Contract(org)
		s.Contracts = append(s.Contracts, x.Contract)
	}
	return s, true
}

func (s Snapshot) view() *View {
	contracts := make(map[model.OrgID]*model.ContractIndex, len(s.Contracts))
	for _, c := range s.Contracts {
		contracts[c.Organisation] = model.NewContractIndex(c)
	}
	return newView(s.Manifest, s.Fleet, contracts)
}

// Changed returns a channel that is closed when the next view is in force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan struct{})
	f.waiters = append(f.waiters, c)
	return c
}

// install puts a view in force if it is newer than the current one, and reports
// whether it did.
func (f *Follower) install(v *View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.view.Load(); current != nil && v.Revision() <= current.Revision() {
		return false
	}
	f.view.Store(v)
	for _, waiter := range f.waiters {
		close(waiter)
	}
	f.waiters = nil
	return true
}

// Run follows the store until ctx is done. After each failure it queries Peers and
// retries with exponential back-off.
func (f *Follower) Run(ctx context.Context) {
	l := &loader{
		kv: f.KV,
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.follow(ctx, l)
		if ctx.Err() != nil {
			return
		}
		f.Log.Warn().Err(err).Msgf("spread: following the store failed; retrying in %s", backoff)
		f.fetchFromPeers(ctx)
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
		if time.Since(f.ConfirmedAt()) < watchTimeout {
			backoff = minBackoff
		}
	}
}

// follow loads the head each time it changes and installs the configuration. If the
// store has lost revisions, it restores them. It returns at the first failure.
func (f *Follower) follow(ctx context.Context, l *loader) error {
	for {
		loaded, err := l.load(ctx)
		if err != nil {
			return err
		}
		f.confirm(loaded.view)
		if v := f.View(); loaded.head.Revision < v.Revision() {
			f.Log.Warn().Msgf("spread: store has been rolled back to revision %d; restoring revision %d", loaded.head.Revision, v.Revision())
			a := &Acceptor{
				KV: f.KV,
			}
			if err := a.restore(ctx, time.Now(), v, loaded); err != nil && !store.IsConflict(err) {
				return err
			}
			continue
		}
		if err := f.awaitHead(ctx, loaded.storeRevision); err != nil {
			return err
		}
	}
}

// confirm records a view loaded from the store, and installs it if it is newer.
func (f *Follower) confirm(v *View) {
	f.recordConfirmed(time.Now())
	if f.install(v) {
		f.Log.Info().Msgf("spread: revision %d is in force", v.Revision())
	}
}

// awaitHead returns when the head has been written after a store revision, or when the
// history since then has been compacted.
func (f *Follower) awaitHead(ctx context.Context, after store.Revision) error {
	for {
		b, err := f.KV.Watch(ctx, headKey, after, watchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.Entries) > 0 {
			return nil
		}
		after = b.Revision
		f.recordConfirmed(time.Now())
	}
}

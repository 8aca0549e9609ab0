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
	// watchTimeout bounds how long a silent cut from the store goes unnoticed.
	watchTimeout = 4 * time.Second
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Snapshot is one whole accepted configuration, as instances hand it to one
// another while the store cannot be reached.
type Snapshot struct {
	Manifest  Manifest
	Fleet     model.Fleet
	Contracts model.Contracts
}

// Peers hands on what other instances have in force.
type Peers interface {
	// Newer asks another instance for its configuration, which it gives if it is
	// newer than have. An error means that no instance answered.
	Newer(ctx context.Context, have Revision) (Snapshot, bool, error)
}

// Follower keeps an instance's view up to date. Its exported fields are set
// before Run.
type Follower struct {
	KV store.KV
	// Peers is asked while the store cannot be reached; it may be nil.
	Peers Peers
	Log   log.Logger

	view atomic.Pointer[View]
	// confirmedAt is when the store last confirmed the view, in Unix nanoseconds.
	confirmedAt atomic.Int64
	// lastContact is when the store or another instance last answered, in Unix
	// nanoseconds.
	lastContact atomic.Int64
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

// ConfirmedAt returns when the store last confirmed the view; the zero time means
// never.
func (f *Follower) ConfirmedAt() time.Time {
	n := f.confirmedAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

func (f *Follower) recordConfirmed(now time.Time) {
	f.confirmedAt.Store(now.UnixNano())
	f.lastContact.Store(now.UnixNano())
}

// IsolatedFor is for how long neither the store nor any other instance has answered:
// a configuration may have been accepted meanwhile of which this instance cannot
// know.
func (f *Follower) IsolatedFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, f.lastContact.Load()))
}

// fetchFromPeers takes a newer configuration from another instance, which may reach
// the store still.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	s, newer, err := f.Peers.Newer(ctx, f.View().Revision())
	if err != nil {
		return
	}
	f.lastContact.Store(time.Now().UnixNano())
	if newer && f.install(s.view()) {
		f.Log.Info().Msgf("spread: revision %d is in force, from another instance", s.Manifest.Revision)
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

// install puts a view in force unless it is older than the one that is.
func (f *Follower) install(v *View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cur := f.view.Load(); cur != nil && v.Revision() <= cur.Revision() {
		return false
	}
	f.view.Store(v)
	for _, c := range f.waiters {
		close(c)
	}
	f.waiters = nil
	return true
}

// Run follows the store until ctx ends.
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
		f.Log.Warn().Err(err).Msgf("spread: following the store failed; trying again in %s", backoff)
		f.fetchFromPeers(ctx)
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
		if time.Since(f.ConfirmedAt()) < watchTimeout {
			backoff = minBackoff
		}
	}
}

// follow loads the head and then waits for each next one; it returns at the
// first failure.
func (f *Follower) follow(ctx context.Context, l *loader) error {
	for {
		got, err := l.load(ctx)
		if err != nil {
			return err
		}
		f.confirm(got.view)
		if v := f.View(); got.head.Revision < v.Revision() {
			f.Log.Warn().Msgf("spread: store came back with revision %d; writing revision %d again", got.head.Revision, v.Revision())
			a := &Acceptor{
				KV: f.KV,
			}
			if err := a.restore(ctx, time.Now(), v, got); err != nil && !store.IsConflict(err) {
				return err
			}
			continue
		}
		if err := f.awaitHead(ctx, got.storeRevision); err != nil {
			return err
		}
	}
}

func (f *Follower) confirm(v *View) {
	f.recordConfirmed(time.Now())
	if f.install(v) {
		f.Log.Info().Msgf("spread: revision %d is in force", v.Revision())
	}
}

// awaitHead returns when the head has been written after a position.
func (f *Follower) awaitHead(ctx context.Context, position store.Revision) error {
	for {
		b, err := f.KV.Watch(ctx, headKey, position, watchTimeout)
		if errors.Is(err, store.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(b.Entries) > 0 {
			return nil
		}
		position = b.Revision
		f.recordConfirmed(time.Now())
	}
}

package proxy

import (
	"context"
	"time"

	"currantstile/avail"
	"currantstile/clock"
	"currantstile/errs"
	"currantstile/sched"
	"currantstile/wire"
)

// queueUpdate queues a progress update for the manager that granted a placement.
func (r *Router) queueUpdate(p *Placement, kind sched.ProgressKind, sentAt time.Time, maxPause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := r.progressOf(p.manager, p.Target.ID)
	progress.Notes = append(progress.Notes, sched.ProgressUpdate{
		ID:       p.grantID,
		Kind:     kind,
		Elapsed:  time.Since(sentAt),
		MaxPause: maxPause,
		Slowdown: p.slowdown,
	})
	p.slowdown = 0
}

// queueNotice queues what an answer of a target said for the instance that grants requests to it.
func (r *Router) queueNotice(instance string, n avail.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := r.progressOf(instance, n.Target)
	if n.Limit != nil {
		n.Limit = n.Limit.ForOthers()
	}
	if old := progress.Notice; old != nil {
		n.Leaving, n.Pushback = n.Leaving || old.Leaving, max(n.Pushback, old.Pushback)
		if n.Limit == nil {
			n.Limit = old.Limit
		}
	}
	progress.Notice = &n
}

// progressOf returns the queued updates of a target for an instance, and wakes Run. The caller holds
// mu.
func (r *Router) progressOf(instance, target string) *wire.TargetProgress {
	byTarget, ok := r.updates[instance]
	if !ok {
		byTarget = make(map[string]*wire.TargetProgress)
		r.updates[instance] = byTarget
	}
	progress, ok := byTarget[target]
	if !ok {
		progress = &wire.TargetProgress{
			Target: target,
		}
		byTarget[target] = progress
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return progress
}

// Run sends queued progress updates until ctx ends.
func (r *Router) Run(ctx context.Context) {
	r.init()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		if !clock.Sleep(ctx, updateBatchInterval) {
			return
		}
		errs.Contain(&r.Log, "Router.sendUpdates", func() {
			r.sendUpdates(ctx)
			r.balancer.Prune(time.Now().Add(-balancerRetention))
		})
	}
}

// sendUpdates sends the queued progress updates, in one call per manager.
func (r *Router) sendUpdates(ctx context.Context) {
	r.mu.Lock()
	updates := r.updates
	r.updates = make(map[string]map[string]*wire.TargetProgress)
	r.mu.Unlock()
	view := r.Registry.View()
	for instance, byTarget := range updates {
		var args wire.ProgressArgs
		for _, progress := range byTarget {
			args.Targets = append(args.Targets, *progress)
		}
		if instance == r.Self {
			r.Manager.RecordProgress(args)
			continue
		}
		in, ok := view.Instance(instance)
		if !ok {
			continue
		}
		go errs.Contain(&r.Log, "Router.sendUpdates", func() {
			ctx, cancel := context.WithTimeout(ctx, updateTimeout)
			defer cancel()
			// Lost updates are not resent: the manager ends such a grant when it
			// expires.
			if err := r.Peers.Call(ctx, in.Peers, wire.MethodReportProgress, args, &wire.Empty{}); err != nil {
				r.Log.Debug().Err(err).Str("instance", instance).Msg("gate: progress updates not delivered; the manager ends the grants when they expire")
				return
			}
			r.recordContact(time.Now(), instance)
		})
	}
}

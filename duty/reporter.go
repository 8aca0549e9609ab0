package duty

import (
	"context"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"currantstile/clock"
	"currantstile/errs"
	"currantstile/store"
	"currantstile/usage"
)

const (
	// windowPrefix is the prefix of the keys that fix the counts of windows. It is outside elect.Prefix: the other
	// instances need not be told of them.
	windowPrefix = "currantstile-usage/"
	// collectInterval is the least time between two collections.
	collectInterval = time.Second
	// reportInterval is the interval of the steps.
	reportInterval = 200 * time.Millisecond
	// minWindowLease and windowLeaseShare, in times of the lateness, are how long the counts of windows are kept at
	// most; half of it at least: longer than a report may be sent.
	minWindowLease   = 80 * time.Second
	windowLeaseShare = 4
)

// Collected is what the instances answered.
type Collected struct {
	Parts []usage.Part
	// Sources are the processes that answered, and Missing the number of instances that did not.
	Sources []usage.Source
	Missing int
}

// Reporter sends the reports of usage while the holder holds them. Its exported fields are set before Run.
type Reporter struct {
	Holder *Holder
	Client Client
	KV     store.KV
	Clock  *usage.Clock
	Timing usage.Timing
	// Length is that of a window.
	Length time.Duration
	// Collect asks all instances for their counts of windows, and sets Clock by theirs.
	Collect func(ctx context.Context, windows []usage.Window) Collected
	// Observe is called when a window's report was accepted, or is missed; it may be nil.
	Observe func(window int64, sent bool)
	Log     log.Logger

	// listed is set once the counts that earlier holders fixed are known.
	listed      bool
	collectedAt time.Time
	parts       usage.Collection
	windows     map[int64]*windowState
	lease       store.LeaseID
	leasedAt    time.Time
	// retryAt is when the store is called again after a failure.
	retryAt time.Time
}

// windowState is what the holder knows of a window.
type windowState struct {
	// report is the report that is fixed in the store; nil before.
	report []byte
	// ready is set once no more counts are waited for; covered, if an instance that ran in the window answered.
	ready   bool
	covered bool
	sent    bool
	// inherited is set if an earlier holder fixed the report, and may have sent it.
	inherited bool
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for clock.Sleep(ctx, reportInterval) {
		errs.Contain(&r.Log, "Reporter.step", func() {
			r.step(ctx, time.Now())
		})
	}
}

// step makes what is due: a collection, the fixing of counts, the sending of reports.
func (r *Reporter) step(ctx context.Context, now time.Time) {
	if !r.Holder.Holds(now, UsageSubject) {
		r.listed, r.windows, r.parts = false, nil, usage.Collection{}
		return
	}
	if r.windows == nil {
		r.windows = make(map[int64]*windowState)
	}
	if !r.listed && (now.Before(r.retryAt) || !r.list(ctx)) {
		return
	}
	open := r.openWindows(r.Clock.True(now))
	r.collect(ctx, now, open)
	for _, w := range open {
		s := r.windows[w.Number]
		if s.ready && s.report == nil && !now.Before(r.retryAt) {
			r.fix(ctx, w, s)
		}
		if s.report != nil && !s.sent {
			r.send(ctx, w, s)
		}
	}
}

// openWindows returns the windows that may be reported now, and forgets the others.
func (r *Reporter) openWindows(now time.Time) []usage.Window {
	open := r.Timing.Open(now, r.Length)
	first := usage.WindowAt(now, r.Length).Number
	if len(open) > 0 {
		first = open[0].Number
	}
	for number, s := range r.windows {
		if number >= first {
			continue
		}
		if !s.sent && !s.inherited {
			r.Log.Warn().Int64("window", number).Bool("fixed", s.report != nil).Bool("covered", s.covered).Msg("duty: report of usage missed")
			r.observe(number, false)
		}
		delete(r.windows, number)
	}
	r.parts.Prune(first)
	for _, w := range open {
		if r.windows[w.Number] == nil {
			r.windows[w.Number] = &windowState{}
		}
	}
	return open
}

func (r *Reporter) observe(window int64, sent bool) {
	if r.Observe != nil {
		r.Observe(window, sent)
	}
}

// list reads the counts that earlier holders fixed. Only these may be sent.
func (r *Reporter) list(ctx context.Context) bool {
	b, err := r.KV.List(ctx, windowPrefix)
	if err != nil {
		r.retryAt = time.Now().Add(claimRetryDelay)
		r.Log.Warn().Err(err).Msg("duty: fixed counts not read; trying again later")
		return false
	}
	for _, e := range b.Entries {
		number, err := strconv.ParseInt(e.Key[len(windowPrefix):], 10, 64)
		if err == nil {
			r.windows[number] = &windowState{
				report:    e.Value,
				ready:     true,
				inherited: true,
			}
		}
	}
	r.listed = true
	return true
}

// collect asks the instances for the counts of windows that have ended.
func (r *Reporter) collect(ctx context.Context, now time.Time, open []usage.Window) {
	trueNow := r.Clock.True(now)
	var due []usage.Window
	for _, w := range open {
		if s := r.windows[w.Number]; !s.ready && !trueNow.Before(r.Timing.CollectFrom(w)) {
			due = append(due, w)
		}
	}
	// The first collection of a holder only compares the clocks.
	synchronise := r.collectedAt.IsZero() || now.Sub(r.collectedAt) > 2*r.Length
	if len(due) == 0 && !synchronise || now.Sub(r.collectedAt) < collectInterval {
		return
	}
	if synchronise {
		due = nil
	}
	r.collectedAt = now
	c := r.Collect(ctx, due)
	for _, p := range c.Parts {
		r.parts.Add(p)
	}
	trueNow = r.Clock.True(time.Now())
	for _, w := range due {
		s := r.windows[w.Number]
		for _, source := range c.Sources {
			s.covered = s.covered || time.UnixMilli(source.Started).Before(w.End())
		}
		// What no running process has seen is not known.
		s.ready = s.covered && (c.Missing == 0 || !trueNow.Before(r.Timing.CollectUntil(w)))
	}
}

// fix stores the counts of a window. After a conflict those of another holder count.
func (r *Reporter) fix(ctx context.Context, w usage.Window, s *windowState) {
	report, err := r.Client.EncodeUsage(w.Number, r.parts.Sum(w.Number))
	if err != nil {
		r.Log.Error().Err(err).Msg("duty: cannot encode a report")
		return
	}
	lease, err := r.windowLease(ctx)
	if err != nil {
		r.retryAt = time.Now().Add(claimRetryDelay)
		r.Log.Warn().Err(err).Int64("window", w.Number).Msg("duty: counts not fixed; trying again")
		return
	}
	key := windowPrefix + strconv.FormatInt(w.Number, 10)
	_, err = r.KV.Put(ctx, store.Write{
		Key:   key,
		Value: report,
		Lease: lease,
	})
	if err == nil {
		s.report = report
		return
	}
	if !store.IsConflict(err) {
		// Whether the write took effect is seen by the conflict at the next attempt.
		r.lease = ""
		r.retryAt = time.Now().Add(claimRetryDelay)
		r.Log.Warn().Err(err).Int64("window", w.Number).Msg("duty: counts not fixed; trying again")
		return
	}
	e, err := r.KV.Get(ctx, key)
	if err != nil {
		r.retryAt = time.Now().Add(claimRetryDelay)
		return
	}
	s.report = e.Value
}

// windowLease returns the lease of the fixed counts.
func (r *Reporter) windowLease(ctx context.Context) (store.LeaseID, error) {
	ttl := max(minWindowLease, windowLeaseShare*r.Timing.Lateness)
	if r.lease != "" && time.Since(r.leasedAt) < ttl/2 {
		return r.lease, nil
	}
	at := time.Now()
	lease, err := r.KV.Grant(ctx, ttl)
	if err != nil {
		return "", errs.WithOp(err, "Reporter.windowLease")
	}
	r.lease, r.leasedAt = lease, at
	return lease, nil
}

// send sends the fixed report of a window, unless it would be late.
func (r *Reporter) send(ctx context.Context, w usage.Window, s *windowState) {
	if !r.Clock.True(time.Now()).Before(r.Timing.SendUntil(w)) {
		return
	}
	result := r.Holder.Call(ctx, UsageSubject, func(ctx context.Context, c Credentials) Result {
		return r.Client.ReportUsage(ctx, c, s.report)
	})
	if _, ok := result.(Accepted); ok {
		s.sent = true
		r.Log.Info().Int64("window", w.Number).Int("bytes", len(s.report)).
			Dur("after-end", r.Clock.True(time.Now()).Sub(w.End())).Msg("duty: usage reported")
		r.observe(w.Number, true)
	}
}

package proxy

import (
	"context"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"currantstile/avail"
	"currantstile/fleet"
	"currantstile/wire"
)

// takeToken takes the right to send one request to a target without a manager that names a rate limit or is
// cold, and reports whether there was one.
func (r *Router) takeToken(ctx context.Context, view *fleet.View, t *fleet.Target) bool {
	reply := wire.TokenReply{
		RetryIn: avail.HolderRetryDelay,
	}
	r.askHolder(ctx, view, t.ID, func(own bool, ask func(method string, args, reply any) error) error {
		now := time.Now()
		args := wire.TokenArgs{
			Notice: r.Avail.NoticeOf(now, t),
		}
		if own {
			reply = r.Manager.TakeToken(now, args)
			return nil
		}
		var answer wire.TokenReply
		err := ask(wire.MethodTakeToken, args, &answer)
		if err == nil {
			reply = answer
		}
		return err
	})
	if ctx.Err() != nil {
		return reply.Granted
	}
	now := time.Now()
	if reply.Notice.Target != "" {
		r.Avail.Record(now, reply.Notice)
	}
	if !reply.Granted {
		r.Avail.RecordNoToken(now, t, reply.RetryIn)
		r.Log.Debug().Str("target", t.ID).Dur("retry-in", reply.RetryIn).Msg("gate: no token of a limited target")
	}
	return reply.Granted
}

// TakeLoadToken takes the right to begin one load from the weight store of a service with a rate in loads a
// second over all instances, and reports whether there was one.
func (r *Router) TakeLoadToken(ctx context.Context, service string, rate float64) bool {
	r.init()
	args := wire.LoadTokenArgs{
		Service: service,
		Rate:    rate,
	}
	var reply wire.LoadTokenReply
	r.askHolder(ctx, r.Registry.View(), service, func(own bool, ask func(method string, args, reply any) error) error {
		if own {
			reply = r.Manager.TakeLoadToken(time.Now(), args)
			return nil
		}
		return ask(wire.MethodTakeLoadToken, args, &reply)
	})
	return reply.Granted
}

// AskCopy asks the instance that decides about copies of a request; own answers if it is this one. It returns the
// instance that responded as well; if that is empty none did, and the reply allows nothing.
func (r *Router) AskCopy(ctx context.Context, args wire.CopyArgs, own func(wire.CopyArgs) wire.CopyReply) (wire.CopyReply, string) {
	r.init()
	var reply wire.CopyReply
	holder := r.askHolder(ctx, r.Registry.View(), string(args.Feature), func(isOwn bool, ask func(method string, args, reply any) error) error {
		if isOwn {
			reply = own(args)
			return nil
		}
		var answer wire.CopyReply
		err := ask(wire.MethodCopy, args, &answer)
		if err == nil {
			reply = answer
		}
		return err
	})
	return reply, holder
}

// askHolder lets the instance that grants the tokens of a name be asked, or its deputy while that does not
// respond: request is called with own if it is this instance, and returns the error of ask otherwise. It returns
// the instance that responded; empty if none did.
func (r *Router) askHolder(ctx context.Context, view *fleet.View, name string, request holderRequest) string {
	return r.askHolderWithin(ctx, holderLimits{
		name:    name,
		timeout: livenessTimeout,
		skip: func(instance string) bool {
			return r.isUnresponsive(time.Now(), view, instance)
		},
		failed: func(in fleet.Instance) {
			r.markUnresponsive(time.Now(), in)
		},
	}, view, avail.LimitHolders(view, name), request)
}

// holderLimits is how long an instance that grants tokens or slots of the given name is waited for. failed is told of one that did not respond, and skip
// reports whether one is not asked for a while.
type holderLimits struct {
	name    string
	timeout time.Duration
	skip    func(instance string) bool
	failed  func(in fleet.Instance)
}

// holderRequest asks an instance with ask, or this one if own is set.
type holderRequest = func(own bool, ask func(method string, args, reply any) error) error

// askHolderWithin asks the holders in turn, with limits of its own. It returns the instance that responded;
// empty if none did.
func (r *Router) askHolderWithin(ctx context.Context, limits holderLimits, view *fleet.View, holders []string, request holderRequest) string {
	for _, instance := range holders {
		if instance == r.Self {
			// It does not fail.
			_ = request(true, nil)
			return instance
		}
		in, ok := view.Instance(instance)
		if !ok || limits.skip(instance) {
			continue
		}
		err := request(false, func(method string, args, reply any) error {
			callCtx, cancel := context.WithTimeout(ctx, limits.timeout)
			defer cancel()
			return r.Peers.Call(callCtx, in.Peers, method, args, reply)
		})
		if err == nil {
			r.recordContact(time.Now(), instance)
			return instance
		}
		if ctx.Err() != nil {
			return ""
		}
		var unknown rpc.ServerError
		if errors.As(err, &unknown) {
			// An older process does not know the method, but it responds.
			continue
		}
		r.Log.Info().Err(err).Str("name", limits.name).Str("instance", instance).Msg("gate: instance that grants tokens or slots did not respond")
		limits.failed(in)
	}
	return ""
}

// limitHolder returns the instance that is told of a target's rate limit: its manager, or the one that
// grants its tokens.
func (r *Router) limitHolder(p *Placement) string {
	if p.manager != "" {
		return p.manager
	}
	if holders := avail.LimitHolders(r.Registry.View(), p.Target.ID); len(holders) > 0 {
		return holders[0]
	}
	return ""
}

package driver

import (
	"slices"
	"time"

	"currantstile/avail"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/sched"
	"currantstile/wire"
)

// takeToken takes a token of the target's rate limit for an admission request, which keeps it while
// its adapter is loaded. It reports false with the reply if there is none.
func (m *Manager) takeToken(now time.Time, mt *managedTarget) (wire.AdmissionReply, bool) {
	wait, ok := m.Avail.TakeToken(now, &mt.target, avail.WholeShare)
	if ok {
		return wire.AdmissionReply{}, true
	}
	n := m.Avail.NoticeOf(now, &mt.target)
	return wire.AdmissionReply{
		Reason:  sched.ReasonLimited,
		Notice:  &n,
		RetryIn: wait,
	}, false
}

// TakeToken grants the right to send one request to a target without a manager, if this instance holds
// its rate limit or is the deputy of the instance that does.
func (m *Manager) TakeToken(now time.Time, args wire.TokenArgs) wire.TokenReply {
	view := m.Registry.View()
	m.recordNotice(now, args.Notice)
	reply := wire.TokenReply{
		Notice:  args.Notice,
		RetryIn: avail.HolderRetryDelay,
	}
	t, ok := view.Target(args.Notice.Target)
	if !ok {
		return reply
	}
	share, ok := m.shareOf(view, t.ID)
	if !ok {
		return reply
	}
	reply.RetryIn, reply.Granted = m.Avail.TakeToken(now, t, share)
	reply.Notice = m.Avail.NoticeOf(now, t)
	m.Log.Debug().Str("target", t.ID).Bool("granted", reply.Granted).Dur("retry-in", reply.RetryIn).Float64("share", share).Msg("mgmt: token requested")
	return reply
}

// shareOf returns the share of a rate that this instance grants, and whether it grants any.
func (m *Manager) shareOf(view *fleet.View, name string) (float64, bool) {
	switch slices.Index(avail.LimitHolders(view, name), m.Holder) {
	case 0:
		return avail.WholeShare, true
	case 1:
		return avail.DeputyShare, true
	default:
		m.Log.Info().Str("name", name).Msg("mgmt: asked for a token that other instances grant")
		return 0, false
	}
}

// TakeLoadToken grants the right to begin one load of a base model, if this instance holds the rate of the
// service's weight store or is the deputy of the one that does.
func (m *Manager) TakeLoadToken(now time.Time, args wire.LoadTokenArgs) wire.LoadTokenReply {
	share, ok := m.shareOf(m.Registry.View(), args.Service)
	granted := ok && m.Avail.TakeLoadToken(now, args.Service, args.Rate, share)
	m.Log.Info().Str("service", args.Service).Float64("rate", args.Rate).Float64("share", share).Bool("granted", granted).Msg("mgmt: load of a base model requested")
	return wire.LoadTokenReply{
		Granted: granted,
	}
}

// LoadToken handles a request for the token of a load.
func (s *Service) LoadToken(args wire.LoadTokenArgs, reply *wire.LoadTokenReply) (err error) {
	defer errs.Recover("Service.LoadToken", &err)
	*reply = s.Manager.TakeLoadToken(time.Now(), args)
	return nil
}

// Token handles a request for a token.
func (s *Service) Token(args wire.TokenArgs, reply *wire.TokenReply) (err error) {
	defer errs.Recover("Service.Token", &err)
	*reply = s.Manager.TakeToken(time.Now(), args)
	return nil
}

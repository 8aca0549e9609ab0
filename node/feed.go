package node

import (
	"time"

	"currantstile/errs"
	"currantstile/watch"
	"currantstile/wire"
)

// FeedService exposes the hub through methods with the signatures that net/rpc
// requires.
type FeedService struct {
	hub      *watch.Hub
	versions *versions
}

// Push serves wire.MethodPush.
func (s *FeedService) Push(m watch.Message, _ *wire.Empty) (err error) {
	defer errs.Recover("FeedService.Push", &err)
	s.hub.Receive(time.Now(), m)
	return nil
}

// Changes serves wire.MethodChanges.
func (s *FeedService) Changes(args watch.FetchArgs, reply *watch.FetchReply) (err error) {
	defer errs.Recover("FeedService.Changes", &err)
	*reply = s.hub.Changes(time.Now(), args)
	return nil
}

// Newest serves wire.MethodNewest.
func (s *FeedService) Newest(args wire.NewestArgs, reply *wire.NewestReply) (err error) {
	defer errs.Recover("FeedService.Newest", &err)
	*reply = s.versions.answer(args)
	return nil
}

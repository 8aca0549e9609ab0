package proxy

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/call"
	"currantstile/fleet"
)

const (
	// collectTime is how long the requests that a target interrupted are collected after
	// the first one, since its connections do not break at the same instant.
	collectTime = 40 * time.Millisecond
	// startingEvents is the number of whole events below which a stream is at the start
	// of its answer.
	startingEvents = 3
	// maxLoggedRequests bounds the requests that one log line lists.
	maxLoggedRequests = 8
)

// interruption is a request whose connection broke before its answer was complete.
type interruption struct {
	request *call.Request
	// events is the number of whole events that the target had sent.
	events int
}

// starting reports whether the target had not got beyond the start of the answer. Only
// such a request can be the cause if the target crashed on it.
func (i interruption) starting() bool {
	return i.events < startingEvents
}

// crashDetector finds out whether targets that interrupted requests have ended, and logs
// which requests they had just begun to answer.
type crashDetector struct {
	// refuses reports whether a target refuses connections.
	refuses func(context.Context, netip.AddrPort) bool
	log     log.Logger

	mu sync.Mutex
	// pending holds the interrupted requests of targets that are not checked yet.
	pending map[string][]interruption
}

// add records an interrupted request. The first one of a target schedules its check.
func (d *crashDetector) add(t fleet.Target, i interruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = make(map[string][]interruption)
	}
	if len(d.pending[t.ID]) == 0 {
		time.AfterFunc(collectTime, func() {
			d.check(t)
		})
	}
	d.pending[t.ID] = append(d.pending[t.ID], i)
}

// check logs the requests that a target interrupted if its process has ended.
func (d *crashDetector) check(t fleet.Target) {
	d.mu.Lock()
	broken := d.pending[t.ID]
	delete(d.pending, t.ID)
	d.mu.Unlock()
	ended := d.refuses(context.Background(), t.Addr)
	var ids, parts, adapters []string
	for _, i := range broken {
		if i.starting() && len(ids) < maxLoggedRequests {
			ids = append(ids, i.request.ID)
			parts = append(parts, i.request.PartNames())
			adapters = append(adapters, i.request.AdapterName())
		}
	}
	d.log.Info().Str("target", t.ID).Bool("ended", ended).Int("requests", len(broken)).Str("starting", strings.Join(ids, " ")).
		Str("parts", strings.Join(parts, " ")).Str("adapters", strings.Join(adapters, " ")).Msg("gate: target interrupted requests")
}

package node

import (
	"net/http"
	"net/netip"
	"time"

	"currantstile/accept"
	"currantstile/errs"
	"currantstile/shed"
	"currantstile/socket"
)

const (
	// readHeaderTimeout bounds how long the platform may take to send the header section of a readiness or
	// metrics request, and idleTimeout how long its connections may be idle.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	// maxSmallHeader is the size of the largest header section of a readiness or metrics request.
	maxSmallHeader = 8 << 10
)

// callerLimits returns the bounds of the listener for callers. The gate enforces the times of requests.
func callerLimits() accept.Limits {
	return accept.Limits{
		MaxConns:     accept.MaxConns(accept.CallerShare),
		MaxFields:    accept.DefaultMaxFields,
		WriteTimeout: accept.DefaultWriteTimeout,
	}
}

// smallLimits returns the bounds of a listener for the platform, whose requests have no bodies.
func smallLimits() accept.Limits {
	return accept.Limits{
		MaxConns:       accept.MaxConns(accept.SmallShare),
		MaxFields:      accept.DefaultMaxFields,
		MaxHeaderBytes: maxSmallHeader,
		Times: shed.Limits{
			Idle:  idleTimeout,
			Grace: readHeaderTimeout,
		},
		WriteTimeout: accept.DefaultWriteTimeout,
	}
}

// listen opens all listeners.
func (n *Node) listen() error {
	if err := n.peers.Start(); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.handleReady)
	if err := n.serve("readiness", n.Settings.Readiness, ready); err != nil {
		return err
	}
	if n.Settings.Metrics.IsValid() {
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", n.metrics.serveMetrics)
		if err := n.serve("metrics", n.Settings.Metrics, mux); err != nil {
			return err
		}
	}
	return n.gate.Start()
}

// withoutBody refuses requests that have a body, without reading it.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// serve serves requests of the platform on a listener of its own.
func (n *Node) serve(name string, addr netip.AddrPort, h http.Handler) error {
	ln, err := socket.Or(n.Network).Listen(addr)
	if err != nil {
		return errs.WithPeer(err, "Node.serve", addr)
	}
	bounded := accept.NewListener(ln, name, smallLimits(), nil)
	bounded.Log = n.Log
	n.listeners = append(n.listeners, bounded)
	s := &http.Server{
		Handler:           withoutBody(h),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxSmallHeader,
		ConnState:         accept.SetState,
		ErrorLog:          n.Log.Std("node: ", 0),
	}
	n.servers = append(n.servers, s)
	// Serve runs until Stop closes the server, so its error carries no information.
	go func() {
		_ = s.Serve(bounded)
	}()
	return nil
}

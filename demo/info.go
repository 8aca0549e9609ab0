package demo

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"

	"currantstile/model"
	"currantstile/sims"
)

// Sample is an example adapter of an organisation, with the organisation's limits.
// Rate is in tokens a second, Burst in tokens.
type Sample struct {
	Adapter string `json:"adapter"`
	Rate    int64  `json:"rate"`
	Burst   int64  `json:"burst"`
}

// Booking is an example of a request that is not repeatable.
type Booking struct {
	Organisation model.OrgID `json:"organisation"`
	Method       string      `json:"method"`
	Path         string      `json:"path"`
	Body         string      `json:"body"`
}

// FleetInfo describes a running fleet; the demo command prints it once the fleet
// accepts requests. Targets holds the addresses of the engines only.
type FleetInfo struct {
	Callers   []string               `json:"callers"`
	Operators []string               `json:"operators"`
	Targets   []string               `json:"targets"`
	Services  []string               `json:"services"`
	Store     string                 `json:"store"`
	Keys      map[model.OrgID]string `json:"keys"`
	Samples   map[model.OrgID]Sample `json:"samples"`
	Booking   Booking                `json:"booking"`
}

// Info returns the addresses, keys and example requests of the running fleet.
func (f *Fleet) Info() FleetInfo {
	info := FleetInfo{
		Store:   "http://" + f.Store.BoundAddr().String(),
		Keys:    f.Keys,
		Samples: make(map[model.OrgID]Sample),
		Booking: Booking{
			Organisation: f.Profile.Orgs[0].ID,
			Method:       http.MethodPost,
			Path:         "/svc/" + f.Profile.BookingRoute + "/",
			Body:         f.Profile.BookingBody,
		},
	}
	for _, in := range f.Instances {
		info.Callers = append(info.Callers, "http://"+in.PublicServer().BoundAddr().String())
		info.Operators = append(info.Operators, "http://"+in.AdminServer().BoundAddr().String())
	}
	for _, e := range f.Engines {
		info.Targets = append(info.Targets, "http://"+e.BoundAddr().String())
	}
	for _, s := range f.Services {
		info.Services = append(info.Services, "http://"+s.BoundAddr().String())
	}
	for _, o := range f.Profile.Orgs {
		info.Samples[o.ID] = Sample{
			Adapter: Adapter(o, 0).String(),
			Rate:    o.Rate,
			Burst:   o.Burst,
		}
	}
	return info
}

// Curl returns a curl command line that sends a streaming chat completion to the
// first instance.
func (f *Fleet) Curl() string {
	info := f.Info()
	o := f.Profile.Orgs[0]
	return "curl -sN " + info.Callers[0] + "/v1/chat/completions -H 'Authorization: Bearer " + f.Keys[o.ID] +
		"' -H 'Content-Type: application/json' -d '{\"model\":\"" + info.Samples[o.ID].Adapter +
		"\",\"max_tokens\":16,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Two shells are cracked.\"}]}'"
}

// CallerAddrs returns the public addresses of the running instances.
func (f *Fleet) CallerAddrs() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(f.Instances))
	for i, in := range f.Instances {
		if !f.stopped[i] {
			list = append(list, in.PublicServer().BoundAddr())
		}
	}
	return list
}

// BusiestEngine returns the address of the engine that runs the most requests for
// an adapter version. It returns false if no engine runs one.
func (f *Fleet) BusiestEngine(a model.Adapter) (netip.AddrPort, bool) {
	var addr netip.AddrPort
	most := 0
	for _, e := range f.Engines {
		if n := e.Running(a); n > most {
			addr, most = e.BoundAddr(), n
		}
	}
	return addr, most > 0
}

// CountLeakedKeys returns the number of requests recorded at targets that contain
// a caller's key in any field.
func (f *Fleet) CountLeakedKeys() int {
	n := 0
	for _, e := range f.Engines {
		n += f.countRecordsWithKey(e.Received())
	}
	for _, s := range f.Services {
		n += f.countRecordsWithKey(s.Received())
	}
	return n
}

func (f *Fleet) countRecordsWithKey(list []sims.Received) int {
	n := 0
	for _, r := range list {
		// Encoding a received request cannot fail.
		text, _ := json.Marshal(r)
		for _, key := range f.Keys {
			if bytes.Contains(text, []byte(key)) {
				n++
				break
			}
		}
	}
	return n
}

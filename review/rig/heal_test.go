//go:build review

package rig

import (
	"fmt"
	"net/http"
	"time"
)

func healConfig(version int) []byte {
	extra := ""
	for v := 2; v <= version; v++ {
		extra += fmt.Sprintf(`,{"name":"r%d","hostname":"a.example","path_prefix":"/v%d/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1}`, v, v)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"status-read","hostname":"a.example","path_prefix":"/look/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1}%s],
"services":[{"name":"app","connection_limit":400}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"dealer","api_keys":["key-of-dealer"],"unit":"tokens","plain_tokens":200}]}`, version, extra)
}

func runHeal(r *rig, _ bool) (bool, error) {
	if _, err := r.startWorkers(4, 5*time.Millisecond); err != nil {
		return false, err
	}
	r.store.Write("op/config", healConfig(1))
	link, err := r.startRelay(r.store.Addr())
	if err != nil {
		return false, err
	}
	link.keep = true
	n, err := r.startNode(nodeOptions{name: "entry-buchs-1", ip: "127.0.0.2", store: link.addr(), memoryMB: 284})
	if err != nil {
		return false, err
	}
	if err := n.awaitRotation(15 * time.Second); err != nil {
		return false, err
	}
	for v := 2; v < 14; v++ {
		time.Sleep(1500 * time.Millisecond)
		link.setSilent(true)
		time.Sleep(time.Duration(4000+137*v) * time.Millisecond)
		r.store.Write("op/config", healConfig(v))
		link.setSilent(false)
		healed := time.Now()
		for time.Since(healed) < 8*time.Second {
			req, _ := http.NewRequest(http.MethodGet, "http://"+n.callers+fmt.Sprintf("/v%d/1", v), nil)
			req.Host = "a.example"
			req.Header.Set("X-Request-Id", fmt.Sprintf("h-%d-%d", v, time.Now().UnixNano()))
			req.Header.Set("Authorization", "Bearer key-of-dealer")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		fmt.Println("version", v, "learned after", time.Since(healed))
	}
	return true, nil
}

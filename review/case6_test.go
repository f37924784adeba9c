package review_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	tenantName = "hule930"
	tenantKey  = "n2ctnfzs989anu6wsjnb"
)

// playAnonymous adds an anonymous route below one that needs a key, while a requester goes on sending its key. Without the trouble the
// route isn't added.
func playAnonymous(ctx context.Context, r *record, trouble bool) (bool, error) {
	s := newStore()
	tenants := []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}}
	routes := []map[string]any{route("r-desk", "/desk/", formerService, 800, nil)}
	services := []string{formerService}
	s.Put(names.ConfigurationKey, configuration(1, routes, services, tenants))

	var shown atomic.Int64

	for i := range 2 {
		err := startServer(ctx, s, formerService, i+1, func(at *server, request *http.Request) {
			key, tenant := request.Header.Get("Authorization"), request.Header.Get("X-Tenant")
			r.write("server %s runs %s: X-Tenant %q, Authorization %q", at.id, request.Header.Get("X-Request-Id"), tenant, key)

			if key != "" {
				shown.Add(1)
			}
		})
		if err != nil {
			return false, err
		}
	}

	f, err := newFleet(ctx, r, 3, func(name string) (string, error) { return s.addressFor(ctx, name) })
	if err != nil {
		return false, err
	}
	defer f.end()

	if err := f.startAll(ctx); err != nil {
		return false, err
	}

	time.Sleep(4 * time.Second)

	if trouble {
		added := append([]map[string]any{route("r-prices", "/desk/prices/", formerService, 800, map[string]any{"anonymous": true})}, routes...)
		s.Put(names.ConfigurationKey, configuration(2, added, services, tenants))
		r.write("version 2 acknowledged by the store: the route /desk/prices/ is added and anonymous")
	}

	// Until configApplyMs after the acknowledgement, a node may still need the key.
	q := &requester{client: &http.Client{}}

	for began := time.Now(); time.Since(began) < configApplyTime; time.Sleep(sendInterval) {
		for _, n := range f.nodes {
			a := q.get(ctx, n, "/desk/prices/poodle", tenantKey)
			r.write("request %s sent to %s with its key: status %d, server %q, %v", a.id, n.name, a.status, a.server, a.err)
		}
	}

	r.write("%d requests ran at a server that was shown their key", shown.Load())

	return shown.Load() > 0, nil
}

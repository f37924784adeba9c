package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/router"
)

// leading returns a table in which requests of one host under each prefix lead to a service.
func leading(services map[string]string) *router.Table {
	var configuration cataloguer.Configuration

	for prefix, service := range services {
		configuration.Routes = append(configuration.Routes, cataloguer.Route{
			Host: "h", PathPrefix: prefix, Shares: []cataloguer.Share{{Service: service, Weight: 1}, {Service: "unused"}},
		})
	}

	return router.New(configuration, nil)
}

// Guards against a stream that is taken for one of the service to which its route leads by now, though it began before the route was moved,
// split or removed.
func TestServiceIsSoleOnlyIfTheRouteWasNotMoved(t *testing.T) {
	former := map[string]string{"/a/": "x", "/b/": "y"}

	for name, test := range map[string]struct {
		now    map[string]string
		path   string
		since  time.Duration
		want   string
		wantOK bool
	}{
		"unchanged":           {now: former, path: "/a/1", want: "x", wantOK: true},
		"another route moved": {now: map[string]string{"/a/": "x", "/b/": "z"}, path: "/a/1", want: "x", wantOK: true},
		"moved":               {now: map[string]string{"/a/": "z", "/b/": "y"}, path: "/a/1"},
		"moved long ago":      {now: map[string]string{"/a/": "z", "/b/": "y"}, path: "/a/1", since: time.Minute + 1, want: "z", wantOK: true},
		"split":               {now: map[string]string{"/a/": "x", "/a/c/": "z", "/b/": "y"}, path: "/a/c/1"},
		"joined":              {now: map[string]string{"/": "y"}, path: "/a/1"},
		"new":                 {now: map[string]string{"/a/": "x", "/b/": "y", "/c/": "z"}, path: "/c/1", want: "z", wantOK: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := leading(test.now)
			table.Succeed(leading(former), time.Minute)

			// A later configuration doesn't change what is remembered.
			next := leading(test.now)
			next.Succeed(table, 2*time.Minute)

			for _, table := range []*router.Table{table, next} {
				service, ok := table.SoleService("H:80", test.path, test.since)
				assert.Equal(t, ok, test.wantOK)
				assert.Equal(t, service, test.want)
			}
		})
	}
}

// Guards against earlier routes that take memory without bound, and against a move that is forgotten for it.
func TestEarlierRoutesAreBounded(t *testing.T) {
	table := leading(map[string]string{"/a/": "first"})

	for i := range 100 {
		next := leading(map[string]string{"/a/": "x", "/b/": fmt.Sprint(i)})
		next.Succeed(table, time.Duration(i)*time.Second)
		table = next
	}

	_, ok := table.SoleService("h", "/a/1", 0)
	assert.Assert(t, !ok)

	service, ok := table.SoleService("h", "/a/1", 80*time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, service, "x")
}

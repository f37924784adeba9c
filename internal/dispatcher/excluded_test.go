package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// Guards against no_upstream at a service with one healthy server whose connection went silent: an upstream that failed
// a request once was excluded for good, even if no other was left for the retry.
func TestLeaveOut(t *testing.T) {
	two := configurer.Service{Upstreams: map[string]configurer.Upstream{
		"a": {Name: "a"}, "b": {Name: "b"}, "gone": {Name: "gone", Leaving: true},
	}}
	one := configurer.Service{Upstreams: map[string]configurer.Upstream{"a": {Name: "a"}}}

	for _, v := range []struct {
		name    string
		service configurer.Service
		failed  []string
		want    []string
	}{
		{"nothing failed", two, nil, nil},
		{"one of two failed", two, []string{"a"}, []string{"a"}},
		{"both failed", two, []string{"a", "b"}, []string{"b"}},
		{"both failed, one twice", two, []string{"a", "b", "a"}, []string{"a"}},
		{"none is known", configurer.Service{}, []string{"a"}, []string{"a"}},
		{"the only one failed", one, []string{"a"}, nil},
	} {
		assert.DeepEqual(t, excluded(v.service, v.failed), v.want)
	}
}

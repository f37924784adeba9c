package dispatcher

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// Symptom: a lookup at a service with one server ends as no_upstream, while the server is well.
// Events: its connection goes silent; the retry must go to another upstream, and there is none.
// Cause: an upstream that failed a request once was left out for good, also when no other was left.
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

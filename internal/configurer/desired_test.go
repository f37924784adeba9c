package configurer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/configurer"
)

func TestDesiredStateIsInheritedByField(t *testing.T) {
	branches := readTree(t, "testdata/desired.tree")
	got, err := configurer.Resolve(branches)
	assert.NilError(t, err)

	sud, prova := got.Services["sud"], got.Services["prova"]
	both := []string{"assistente-7", "assistente-8"}

	assert.DeepEqual(t, sud.DesiredOf(sud.Upstreams["e1"]), configurer.Desired{Models: both, Adapters: []string{"bagni"}, Role: "decode"})
	// An empty list is an order to hold none; a list left out is no order.
	assert.DeepEqual(t, sud.DesiredOf(sud.Upstreams["e2"]), configurer.Desired{Models: both[:1], Adapters: []string{}, Role: "decode"})
	assert.DeepEqual(t, prova.DesiredOf(prova.Upstreams["e1"]), configurer.Desired{Models: both, Role: "decode"})
	assert.DeepEqual(t, prova.DesiredOf(prova.Upstreams["e2"]), configurer.Desired{Models: both[:1], Adapters: []string{}, Role: "prefill"})
	assert.DeepEqual(t, prova.Orders, configurer.Orders{LoadsPerMinute: 4, LoadsAtOnce: 1, Lease: 10 * time.Second, LongestPause: 30 * time.Second})

	fields, err := configurer.Explain(branches, "sud/prova")
	assert.NilError(t, err)

	var lines strings.Builder
	for _, v := range fields {
		if strings.Contains(v.Key, "desired") || strings.HasPrefix(v.Key, "orders") {
			fmt.Fprintf(&lines, "%s = %s from /%s:%d\n", v.Key, v.Value, v.Branch, v.Line)
		}
	}

	golden.Assert(t, lines.String(), "desired.golden")
}

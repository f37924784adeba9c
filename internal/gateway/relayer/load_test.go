package relayer

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a load that can't be read and counts as none, which sends requests to a full upstream.
func TestLoadThatCannotBeReadSaysNothing(t *testing.T) {
	for _, text := range []string{"3,0,8", "3,0", "3,0,8,100", " 3 , 0 ,8,250", "3,0,8,x", "3,0,8,100,7"} {
		load, ok := parseLoad(text)
		assert.Assert(t, ok, text)
		assert.DeepEqual(t, load, &balancer.Load{Running: 3})
	}

	for _, text := range []string{"3", ",", "x,0,8", "3,x,8", "-1,0,8", "3,-1", "3.5,0", "99999999,0,8", "1e3,0", "3;0;8"} {
		_, ok := parseLoad(text)
		assert.Assert(t, !ok, text)
	}
}

package relayer

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a load that can't be read and counts as none, which sends requests to a full upstream, and against invalid
// slots or times of work that are used or hide the requests at the upstream.
func TestLoadThatCannotBeReadSaysNothing(t *testing.T) {
	for text, want := range map[string]balancer.Load{
		"3,0": {Running: 3}, "3,0,8": {Running: 3, Slots: 8}, "3,0,8,100": {Running: 3, Slots: 8, WorkTime: 100},
		"3 , 0 ,8, 250": {Running: 3, Slots: 8, WorkTime: 250}, "0,2,8,62.5": {Waiting: 2, Slots: 8, WorkTime: 62.5},
	} {
		load, result := parseLoad(text)
		assert.Equal(t, result, loadRead, text)
		assert.DeepEqual(t, load, &want)
	}

	for _, text := range []string{
		"3,0,", "3,0,0,100", "3,0,x,100", "3,0,-8,100", "3,0,99999999,100", "3,0,8,", "3,0,8,x", "3,0,8,0", "3,0,8,-100", "3,0,8,NaN",
		"3,0,8,+Inf", "3,0,8,10001", "3,0,8,1e300", "3,0,8,1e999", "3,0,8,100,7", "3,0,8,100,", "3,0,8,100%",
	} {
		load, result := parseLoad(text)
		assert.Equal(t, result, loadFigureInvalid, text)
		assert.DeepEqual(t, load, &balancer.Load{Running: 3})
	}

	for _, text := range []string{
		"", "3", ",", "x,0,8", "3,x,8", "-1,0,8", "3,-1", "3.5,0", "99999999,0,8", "1e3,0", "3;0;8", "x,0,8,100",
	} {
		load, result := parseLoad(text)
		assert.Equal(t, result, loadUnreadable, text)
		assert.Assert(t, load == nil, text)
	}
}

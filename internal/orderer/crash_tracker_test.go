package orderer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxCrashes is the maximum number of crashes by one order: three until it is blocked, and as many more within an hour.
const maxCrashes = 6

// Guards against one order that crashes all engines again and again. Operators desire a model that crashes each engine that
// loads it. If a failed order is delayed only at its own engine, every engine is ordered to load the model, repeatedly.
func TestOrderThatCrashesEnginesIsStopped(t *testing.T) {
	for _, crashDelay := range []time.Duration{0, 3 * time.Second} {
		t.Run(crashDelay.String(), func(t *testing.T) {
			runSimulation(t, func(t *testing.T, start func(*node)) {
				engines := map[string]*fakeEngine{}
				for i := range 8 {
					engines[fmt.Sprint("e", i)] = &fakeEngine{checksFencing: true, crashingModel: "bad", crashDelay: crashDelay}
				}

				c := newCluster([]string{"v1"}, engines)
				c.current.Orders.LoadsAtOnce = 1
				start(c.node("a"))
				time.Sleep(convergenceTime)

				c.setDesiredModels("v1", "bad")
				time.Sleep(time.Hour)

				crashes := 0
				c.update(func() {
					for _, e := range engines {
						crashes += e.crashes
					}
				})

				assert.Check(t, crashes <= maxCrashes, "%d crashes", crashes)
				checkModels(t, c, "v1")

				c.setDesiredModels("v1", "v2")
				time.Sleep(10 * time.Minute)
				checkModels(t, c, "v1", "v2")
			})
		})
	}
}

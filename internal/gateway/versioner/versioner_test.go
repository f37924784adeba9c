package versioner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/versioner"
	"quincepath.example/quincepath/internal/standin/keeper"
)

func version(number int) cataloguer.ServiceVersion {
	return cataloguer.ServiceVersion{Service: fmt.Sprint("s", number%3), SoftwareVersion: fmt.Sprint("v", number)}
}

// Guards against versions that are lost when several nodes record them at once, or that the store keeps for ever.
func TestVersionsOfAllNodesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.NewStore(keeper.StoreOptions{})

		var writers sync.WaitGroup

		for i := range 4 {
			writers.Go(func() {
				local := keeper.NewLocal(store, func(context.Context, keeper.Call) keeper.Verdict {
					return keeper.Verdict{DelayBefore: time.Millisecond}
				})
				assert.Check(t, versioner.New(local).RecordVersions(context.Background(), []cataloguer.ServiceVersion{version(i), version(9)}, 0))
			})
		}

		writers.Wait()

		v := versioner.New(keeper.NewLocal(store, nil))
		versions, err := v.Versions(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(versions), 5)

		assert.NilError(t, v.RemoveVersions(context.Background(), []cataloguer.ServiceVersion{version(0), version(9)}))

		versions, err = v.Versions(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(versions), 3)
	})
}

// Guards against a write for each read of the list of upstreams.
func TestKnownVersionsAreNotWrittenAgain(t *testing.T) {
	writes := 0
	local := keeper.NewLocal(keeper.NewStore(keeper.StoreOptions{}), func(_ context.Context, call keeper.Call) keeper.Verdict {
		if call.Write {
			writes++
		}

		return keeper.Verdict{}
	})
	v := versioner.New(local)

	for range 3 {
		assert.NilError(t, v.RecordVersions(context.Background(), []cataloguer.ServiceVersion{version(1), version(2)}, 0))
	}

	assert.Equal(t, writes, 1)
}

package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// Guards against requests that an older version decides about for as long as they keep a goroutine waiting that takes the newer one.
func TestReceivedConfigurationIsUsedAtOnce(t *testing.T) {
	catalog, version := gateway.NewCatalog(nodeSettings(1), &store{revision: 1}, gateway.Protocol{})

	catalog.ApplyConfiguration(cataloguer.Configuration{Version: 1}, catalog.Now())
	assert.Equal(t, version(), int64(0), "routes without upstreams are in force")

	listed := cataloguer.Listing{Position: storer.Position{Revision: 1}, Upstreams: []cataloguer.Upstream{{ID: "u", Service: "desk"}}}
	catalog.ApplyFreshRegistry(cataloguer.NewRegistry(listed), false, catalog.Now())
	assert.Equal(t, version(), int64(1))

	catalog.ApplyConfiguration(cataloguer.Configuration{Version: 2}, catalog.Now())
	assert.Equal(t, version(), int64(2))

	catalog.ApplyConfiguration(cataloguer.Configuration{Version: 1}, catalog.Now()+time.Second)
	assert.Equal(t, version(), int64(2))
}

package server

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/orderer"
	"quincepath.example/quincepath/internal/prober"
)

const (
	// ordersVariable is the key of the orderers' counters among the process's variables.
	ordersVariable = "quincepath_orders"
	// ordersInterval is how often new and removed services are looked for.
	ordersInterval = time.Second
	// maxStateBytes bounds what an engine may say of its state.
	maxStateBytes = 1 << 20
)

// orderCounters are shared by all nodes of a process: expvar takes each name only once.
var orderCounters = sync.OnceValue(func() *orderer.Counters {
	counters := new(orderer.Counters)
	expvar.Publish(ordersVariable, expvar.Func(func() any { return counters.Map() }))

	return counters
})

// orderEngines runs an orderer for each service of engines until ctx ends.
// Without a platform there is no lease, and nobody orders.
func (n *Node) orderEngines(ctx context.Context) {
	if n.store == nil {
		return
	}

	engines := newEngineOrders(n.settings.Upstreams.BearerKey)
	running := make(map[string]context.CancelFunc)
	ticker := time.NewTicker(ordersInterval)

	defer ticker.Stop()

	for {
		n.startOrderers(ctx, engines, running)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) startOrderers(ctx context.Context, engines orderer.Engines, running map[string]context.CancelFunc) {
	services := n.tree.Snapshot().Services

	for name, stop := range running {
		if services[name].Kind != configurer.KindEngine {
			stop()
			delete(running, name)
		}
	}

	for name, service := range services {
		if service.Kind != configurer.KindEngine || running[name] != nil {
			continue
		}

		own, stop := context.WithCancel(ctx)
		running[name] = stop

		go n.newOrderer(name, engines).Run(own)
	}
}

func (n *Node) newOrderer(service string, engines orderer.Engines) *orderer.Orderer {
	return orderer.New(orderer.Options{
		Service:     service,
		Node:        n.identity.node,
		Incarnation: n.identity.incarnation,
		Store:       n.store,
		Engines:     engines,
		Settings:    orderedServices{n.tree},
		Candidates:  ordererCandidates{members: n.members, self: n.identity.node},
		Counters:    orderCounters(),
	})
}

// orderedServices implements orderer.Settings.
type orderedServices struct {
	tree *settingsHolder
}

func (o orderedServices) Service(name string) (configurer.Service, bool) {
	service, ok := o.tree.Snapshot().Services[name]

	return service, ok
}

// ordererCandidates implements orderer.Candidates: as long as all nodes answer, the holder of a
// service's first pool is the one. A node that is doubted may be frozen with others unable to
// confirm it, as with two nodes; nobody would order until it wakes. Hence the next one tries as
// well, and the lease decides.
type ordererCandidates struct {
	members *members
	self    string
}

func (o ordererCandidates) IsCandidate(service string) bool {
	view := o.members.view.Load()
	nodes := slices.Clone(view.live)

	for _, member := range view.all {
		if member.State != prober.Live {
			nodes = slices.DeleteFunc(nodes, func(name string) bool { return name == member.Name })
		}
	}

	return chooser.New(nodes).Choose(service) == o.self
}

// engineOrders implements orderer.Engines over the engines' HTTP interface.
type engineOrders struct {
	client *resty.Client
}

// engineOrder is the body of POST /orders.
type engineOrder struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fencing int64  `json:"fencing"`
}

// engineState is the answer of GET /state.
type engineState struct {
	Models         []string `json:"models"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	HighestFencing int64    `json:"highest_fencing"`
}

func newEngineOrders(bearerKey string) engineOrders {
	client := resty.New().SetResponseBodyLimit(maxStateBytes)
	if bearerKey != "" {
		client.SetAuthToken(bearerKey)
	}

	return engineOrders{client: client}
}

func (e engineOrders) State(ctx context.Context, upstream configurer.Upstream) (orderer.State, error) {
	var state engineState
	if err := e.read(ctx, upstream.Address+"/state", &state); err != nil {
		return orderer.State{}, errors.Wrap(err, "read the engine's state")
	}

	return orderer.State(state), nil
}

// ActiveRequests reads the engine's own load report, which counts the requests of all nodes and lags.
func (e engineOrders) ActiveRequests(ctx context.Context, upstream configurer.Upstream) (int, error) {
	var report loadReport
	if err := e.read(ctx, upstream.Address+"/load", &report); err != nil {
		return 0, errors.Wrap(err, "read the engine's load")
	}

	return report.Running + report.Waiting, nil
}

// read decodes the JSON answer of a GET into the given value.
func (e engineOrders) read(ctx context.Context, url string, into any) error {
	response, err := e.client.R().SetContext(ctx).SetResult(into).ForceContentType("application/json").Get(url)
	if err != nil {
		return err
	}

	if response.IsError() {
		return errors.Newf("status %d", response.StatusCode())
	}

	return nil
}

func (e engineOrders) Send(ctx context.Context, upstream configurer.Upstream, order orderer.Order, number int64) error {
	body := engineOrder{Kind: string(order.Kind), Name: order.Name, Fencing: number}

	response, err := e.client.R().SetContext(ctx).SetBody(body).Post(upstream.Address + "/orders")
	if err != nil {
		return errors.Wrap(err, "send the order")
	}

	switch {
	case response.StatusCode() == http.StatusConflict:
		return orderer.ErrFenced
	case response.IsError():
		return errors.Newf("send the order: status %d", response.StatusCode())
	}

	return nil
}

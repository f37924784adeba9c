package generator

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"quincepath.example/quincepath/internal/standin/supporter"
)

// keptOrders bounds the record of orders.
const keptOrders = 4096

// orders is what the orders to the engine have set. Highest never falls.
type orders struct {
	check   bool
	anyName bool

	mu       sync.Mutex
	models   map[string]bool
	adapters map[string]bool
	role     string
	highest  int64
	refused  int
	applied  []orderBody
	// toHold is how many of the next orders wait for the gate, held how many wait.
	toHold int
	held   int
	gate   supporter.Gate
}

func newOrders(models []string, check bool) *orders {
	o := &orders{
		check:    check,
		anyName:  len(models) == 0,
		models:   make(map[string]bool),
		adapters: make(map[string]bool),
	}
	for _, m := range models {
		o.models[m] = true
	}
	return o
}

// orderKind says what an order does with its name.
type orderKind string

const (
	orderLoadModel     orderKind = "load_model"
	orderUnloadModel   orderKind = "unload_model"
	orderLoadAdapter   orderKind = "load_adapter"
	orderUnloadAdapter orderKind = "unload_adapter"
	orderSetRole       orderKind = "set_role"
)

type orderBody struct {
	Kind    orderKind `json:"kind"`
	Name    string    `json:"name"`
	Fencing int64     `json:"fencing"`
}

type stateBody struct {
	Models         []string `json:"models"`
	Adapters       []string `json:"adapters"`
	Role           string   `json:"role"`
	HighestFencing int64    `json:"highest_fencing"`
}

// apply returns the status of an order: 200, 400 for an unknown kind, 409 for an old fencing number.
func (o *orders) apply(b orderBody) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.check && b.Fencing < o.highest {
		o.refused++
		return http.StatusConflict
	}
	switch b.Kind {
	case orderLoadModel:
		o.models[b.Name] = true
	case orderUnloadModel:
		delete(o.models, b.Name)
	case orderLoadAdapter:
		o.adapters[b.Name] = true
	case orderUnloadAdapter:
		delete(o.adapters, b.Name)
	case orderSetRole:
		o.role = b.Name
	default:
		return http.StatusBadRequest
	}
	o.highest = max(o.highest, b.Fencing)
	if len(o.applied) < keptOrders {
		o.applied = append(o.applied, b)
	}
	return http.StatusOK
}

// wait holds an order back until it is released, also when its sender has left:
// an order on its way can't be called back.
func (o *orders) wait() {
	o.mu.Lock()
	hold := o.toHold > 0
	if hold {
		o.toHold--
		o.held++
	}
	o.mu.Unlock()
	if !hold {
		return
	}
	// The background never ends, so that there is no error.
	_ = o.gate.Pass(context.Background())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held--
}

// hold makes the next orders wait. A count of 0 lets further ones pass, but releases none.
func (o *orders) hold(count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.toHold = count
	if count > 0 {
		o.gate.Set(true)
	}
}

// forget puts the orders' effects back to how the engine started, as a restart does.
func (o *orders) forget(models []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.models)
	clear(o.adapters)
	o.role, o.highest = "", 0
	for _, m := range models {
		o.models[m] = true
	}
}

// ordersRecord is what the engine tells of the orders that it met.
type ordersRecord struct {
	// Applied has the first orders in the order in which they took effect.
	Applied []orderBody `json:"applied"`
	// Refused counts orders with an old fencing number.
	Refused int `json:"refused"`
	// Held is the number of orders that wait now.
	Held int `json:"held"`
}

func (o *orders) record() ordersRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ordersRecord{Applied: slices.Clone(o.applied), Refused: o.refused, Held: o.held}
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	supporter.WriteJSON(w, http.StatusOK, e.orders.record())
}

func (o *orders) state() stateBody {
	o.mu.Lock()
	defer o.mu.Unlock()
	return stateBody{
		Models:         slices.AppendSeq([]string{}, maps.Keys(o.models)),
		Adapters:       slices.AppendSeq([]string{}, maps.Keys(o.adapters)),
		Role:           o.role,
		HighestFencing: o.highest,
	}
}

func (o *orders) serves(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.anyName || o.models[name] || o.adapters[name]
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if !supporter.ReadJSON(w, r, &b) {
		return
	}
	e.orders.wait()
	switch s := e.orders.apply(b); s {
	case http.StatusOK:
		e.state(w, r)
	case http.StatusConflict:
		refuse(w, s, "conflict_error", "fencing_too_low", "the fencing number is lower than one seen")
	default:
		refuse(w, s, "invalid_request_error", "unknown_order", "unknown kind of order")
	}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	s := e.orders.state()
	slices.Sort(s.Models)
	slices.Sort(s.Adapters)
	supporter.WriteJSON(w, http.StatusOK, s)
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	s := e.orders.state()
	names := slices.Concat(s.Models, s.Adapters)
	slices.Sort(names)
	list := make([]modelEntry, 0, len(names))
	for _, n := range names {
		list = append(list, modelEntry{ID: n, Object: "model", OwnedBy: e.options.Name})
	}
	supporter.WriteJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

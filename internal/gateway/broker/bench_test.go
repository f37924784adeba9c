package broker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// BenchmarkAssign measures the assignment of all holders after a change of the live nodes, at the design size.
func BenchmarkAssign(b *testing.B) {
	const (
		nodes     = 370
		upstreams = 3800
	)

	var listing cataloguer.Listing
	for i := range upstreams {
		listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i), Service: service, Slots: 16})
	}

	var live []string
	for i := range nodes {
		live = append(live, fmt.Sprint("n", i))
	}

	question := json.RawMessage(`{"s":"chat/0","w":{"id":"r"}}`)
	lost := 0
	node := broker.New(nodeOptions("n0", func() []string { return live[:nodes-lost] }, link{}))
	node.Update(serviceState(listing))

	for b.Loop() {
		// The live nodes are checked again after 100 ms.
		b.StopTimer()
		time.Sleep(101 * time.Millisecond)

		lost = 1 - lost
		b.StartTimer()

		// Every call looks up the holders first.
		if _, err := node.HandleChoose(context.Background(), "n1", question); err != nil {
			b.Fatal(err)
		}
	}
}

package prober_test

import (
	"encoding/json"
	"testing"
	"time"

	"quincepath.example/quincepath/internal/prober"
)

// FuzzReceive checks that no packet of an authenticated peer makes a node panic,
// whatever its content.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		`{"t":1,"f":"node-2","i":5,"s":1,"p":9,"d":{"r":3,"u":"ab"}}`,
		`{"t":2,"f":"node-2","i":5,"s":2,"p":9,"a":"node-3","d":{}}`,
		`{"t":4,"f":"node-9","i":1,"s":1,"d":{},"m":{"n":"node-9","a":"127.0.0.1:1","p":"127.0.0.1:2","d":"sala"}}`,
		`{"t":6,"f":"node-2","i":6,"s":3,"k":7,"d":{},"n":[{"n":"node-1","s":3,"i":1},{"n":"","s":-1,"i":-9,"b":"node-2"}]}`,
	} {
		f.Add([]byte(seed))
	}

	f.Fuzz(func(_ *testing.T, body []byte) {
		var packet prober.Packet
		if json.Unmarshal(body, &packet) != nil {
			return
		}

		options := prober.DefaultOptions()
		options.Self = prober.VM{Name: "node-1", PeerAddress: "127.0.0.1:1"}
		options.Incarnation = 1

		started := time.Unix(0, 0)
		node := prober.New(options)
		node.SetListedNodes(started, []prober.VM{{Name: "node-1"}, {Name: "node-2", PeerAddress: "127.0.0.1:2"}, {Name: "node-3"}})
		node.Tick(started)
		node.Receive(started, packet)
		node.Tick(started.Add(time.Second))
	})
}

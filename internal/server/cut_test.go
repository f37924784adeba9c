package server

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/orderer"
	"quincepath.example/quincepath/internal/prober"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/internal/standin/cutter"
)

// forEachCut calls check with each cut of a response, and with a server that sends it.
func forEachCut(t *testing.T, contentType, body string, check func(server *cutter.Server, cut cutter.Cut)) {
	t.Helper()

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n", body)) {
		server.Answer(cut)
		check(server, cut)
	}
}

func cutAttempt(server *cutter.Server) (dispatcher.Request, dispatcher.Attempt) {
	request := dispatcher.Request{ID: "r", Class: configurer.Class{GapLimit: time.Minute}, Repeatable: true}

	return request, dispatcher.Attempt{Number: 1, Slot: dispatcher.Slot{Upstream: configurer.Upstream{Address: "http://" + server.Address()}}}
}

// Guards against answers of plain services that were cut off and count as whole.
func TestPlainAnswersThatAreCutOffAreNotWhole(t *testing.T) {
	const body = "the answer"

	forEachCut(t, "text/plain", body, func(server *cutter.Server, cut cutter.Cut) {
		request, attempt := cutAttempt(server)
		sender := &plainSender{
			client: forwarder.NewClient(forwarder.Options{}), upstreams: newUpstreamTable(), request: request, method: "POST", path: "/",
			answer: recorder.NewEventBuffer(),
		}

		outcome := sender.Send(t.Context(), attempt)
		sender.client.CloseIdleConnections()
		assert.Equal(t, len(server.TakeRequests()), 1, "%v", cut)

		if outcome.Result == dispatcher.ResultDone {
			assert.Assert(t, cut.LooksWhole(), "%v", cut)
			assert.Assert(t, string(sender.payload) == body || cut.EndsWithConnection && strings.HasPrefix(body, string(sender.payload)), "%v", cut)
		} else {
			assert.Equal(t, outcome.Result, dispatcher.ResultFailed, "%v", cut)
			assert.Assert(t, !cut.IsWhole(), "%v: %v", cut, outcome.Err)
		}
	})
}

// Guards against streams of engines that were cut off and count as whole, and against events that were cut off in their middle.
func TestStreamsThatAreCutOffAreNotWhole(t *testing.T) {
	events := []string{`{"id":"1","choices":[{"delta":{"content":"a"}}]}`, `{"id":"1","choices":[{"delta":{"content":"b"}}]}`, endOfStream}
	body := ""

	for _, event := range events {
		body += "data: " + event + "\n\n"
	}

	forEachCut(t, "text/event-stream", body, func(server *cutter.Server, cut cutter.Cut) {
		request, attempt := cutAttempt(server)
		sender := &engineSender{
			client: forwarder.NewClient(forwarder.Options{}), upstreams: newUpstreamTable(), request: request, body: []byte("{}"),
			answer: recorder.NewEventBuffer(),
		}

		outcome := sender.Send(t.Context(), attempt)
		sender.client.CloseIdleConnections()
		sender.answer.End(nil)

		received, _, _ := sender.answer.EventsFrom(t.Context(), 0)
		for i, event := range received {
			assert.Equal(t, event.Data, events[i], "%v", cut)
		}

		// The last event tells the end, whatever comes behind it.
		assert.Equal(t, outcome.Result == dispatcher.ResultDone, len(received) == len(events), "%v: %v", cut, outcome.Err)
		assert.Assert(t, len(received) == len(events) || !cut.IsWhole(), "%v: %v", cut, outcome.Err)
	})
}

// Guards against load reports, states and orders of engines that count as answered though the answer was cut off.
func TestEngineAnswersThatAreCutOffAreNotBelieved(t *testing.T) {
	node, _ := newTestNode(t)

	forEachCut(t, "application/json", `{"running":3,"waiting":4,"leaving":false}`, func(server *cutter.Server, cut cutter.Cut) {
		address := "http://" + server.Address()
		before := node.upstreams.row(address).failedPolls

		node.pollUpstream(t.Context(), newLoadClient(""), configurer.Upstream{Address: address})

		row := node.upstreams.row(address)
		if row.failedPolls == 0 {
			assert.Assert(t, cut.LooksWhole(), "%v", cut)
			assert.Equal(t, row.load, 7, "%v", cut)
		} else {
			assert.Equal(t, row.failedPolls, before+1, "%v", cut)
			assert.Assert(t, !cut.IsWhole(), "%v", cut)
		}
	})

	forEachCut(t, "application/json", `{"models":["m"],"role":"both","highest_fencing":7}`, func(server *cutter.Server, cut cutter.Cut) {
		state, err := newEngineOrders("").State(t.Context(), configurer.Upstream{Address: "http://" + server.Address()})
		if err == nil {
			assert.Assert(t, cut.LooksWhole(), "%v", cut)
			assert.DeepEqual(t, state, orderer.State{Models: []string{"m"}, Role: "both", HighestFencing: 7})
		}

		assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
	})

	forEachCut(t, "application/json", "{}", func(server *cutter.Server, cut cutter.Cut) {
		err := newEngineOrders("").Send(t.Context(), configurer.Upstream{Address: "http://" + server.Address()}, orderer.Order{}, 7)
		assert.Equal(t, len(server.TakeRequests()), 1, "%v", cut)
		assert.Assert(t, err != nil || cut.LooksWhole(), "%v", cut)
		assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
	})
}

// Guards against an answer that a node passes on for another one and that ends for the caller as if it were whole, though that node broke
// it off.
func TestAnswersThatTheirHolderCutsOffAreNotWhole(t *testing.T) {
	node, base := newTestNode(t)
	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	holder := prober.VM{Name: "node-9", Address: server.Address(), PeerAddress: "192.0.2.9:7101"}
	node.members.prober.Receive(time.Now(), prober.Packet{Kind: prober.KindDigest, From: holder.Name, Incarnation: 1, Sequence: 1, VM: &holder})

	const body = "data: a\n\ndata: [DONE]\n\n"

	for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n", body)) {
		server.Answer(cut)

		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/v1/requests/node-9.x.1/answer", http.NoBody)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)

		received, isOK, err := readAnswer(request)
		if isOK && err == nil {
			assert.Assert(t, cut.LooksWhole(), "%v: %q", cut, received)
			assert.Assert(t, received == body || cut.EndsWithConnection && strings.HasPrefix(body, received), "%v: %q", cut, received)
		}

		assert.Assert(t, isOK && err == nil || !cut.IsWhole(), "%v: %v", cut, err)
	}
}

// readAnswer sends a request, reads the answer, and reports whether its status is 200.
func readAnswer(request *http.Request) (body string, isOK bool, err error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()

	data, err := io.ReadAll(response.Body)

	return string(data), response.StatusCode == http.StatusOK, err
}

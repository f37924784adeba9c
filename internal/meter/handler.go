package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
)

// VariableName is the key of the meter's counters in the JSON object that Handler writes.
const VariableName = "quincepath"

// CounterFunc returns the counters of a component of the node, which are encoded as JSON.
type CounterFunc func() any

// Handler responds with a JSON object of the meter's counters, the counters of the node's other components by name, and
// the expvar variables of the process.
//
// expvar.Handler shows only published variables. Publishing panics if the name is in use in the process, and can't be
// undone, so it would fail where several nodes run in one process, as in tests and demos.
func Handler(m *Meter, parts map[string]CounterFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")

		// A write fails only if the client has disconnected.
		_, _ = fmt.Fprintf(w, "{\n%q: %s", VariableName, m)

		for name, counters := range parts {
			_, _ = fmt.Fprintf(w, ",\n%q: %s", name, encodeCounters(counters()))
		}

		expvar.Do(func(v expvar.KeyValue) {
			if v.Key != VariableName {
				_, _ = fmt.Fprintf(w, ",\n%q: %s", v.Key, v.Value)
			}
		})

		_, _ = fmt.Fprint(w, "\n}\n")
	})
}

// encodeCounters returns counters as JSON, or null if they can't be encoded. Plain numbers always can.
func encodeCounters(counters any) []byte {
	data, err := json.Marshal(counters)
	if err != nil {
		return []byte("null")
	}

	return data
}

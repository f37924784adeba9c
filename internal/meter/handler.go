package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
)

// VariableName is the key of the meter's counters among the process's variables.
const VariableName = "quincepath"

// CounterFunc returns the counters of a component of the node, which are encoded as JSON.
type CounterFunc func() any

// Handler answers with the process's expvar variables, the meter's counters,
// and those of the node's other parts, each under its name.
//
// expvar's own handler shows only what was published by a name that is unique in
// the process and can't be taken back; several nodes in one process, as in tests
// and demos, would end it by a panic.
func Handler(m *Meter, parts map[string]CounterFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")

		// A failed write means that the reader left.
		_, _ = fmt.Fprintf(w, "{\n%q: %s", VariableName, m)

		for name, part := range parts {
			_, _ = fmt.Fprintf(w, ",\n%q: %s", name, encoded(part()))
		}

		expvar.Do(func(v expvar.KeyValue) {
			if v.Key != VariableName {
				_, _ = fmt.Fprintf(w, ",\n%q: %s", v.Key, v.Value)
			}
		})

		_, _ = fmt.Fprint(w, "\n}\n")
	})
}

// encoded returns counters as JSON. Plain numbers always encode; null stands for what doesn't.
func encoded(counters any) []byte {
	data, err := json.Marshal(counters)
	if err != nil {
		return []byte("null")
	}

	return data
}

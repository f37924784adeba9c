package meter

import (
	"expvar"
	"fmt"
	"net/http"
)

// VariableName is the key of the meter's counters among the process's variables.
const VariableName = "quincepath"

// Handler answers with the process's expvar variables and the meter's counters.
//
// expvar's own handler shows only what was published by a name that is unique in
// the process and can't be taken back; several nodes in one process, as in tests
// and demos, would end it by a panic.
func Handler(m *Meter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")

		// A failed write means that the reader left.
		_, _ = fmt.Fprintf(w, "{\n%q: %s", VariableName, m)

		expvar.Do(func(v expvar.KeyValue) {
			if v.Key != VariableName {
				_, _ = fmt.Fprintf(w, ",\n%q: %s", v.Key, v.Value)
			}
		})

		_, _ = fmt.Fprint(w, "\n}\n")
	})
}

package supporter

import (
	"net/http"
	"sync"
)

// MaxRuns is the number of runs that Runs keeps; the oldest ones go first.
const MaxRuns = 100_000

// Runs is a bounded list of records that are still being changed.
type Runs[T any] struct {
	mu    sync.Mutex
	count int
	list  []*T
}

// Add keeps a record and returns it with its number since the start, counted from 1.
// Later changes go through Update.
func (r *Runs[T]) Add(v T) (*T, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if len(r.list) >= MaxRuns {
		r.list[0] = nil
		r.list = r.list[1:]
	}
	r.list = append(r.list, &v)
	return &v, r.count
}

// Update changes a record under the lock.
func (r *Runs[T]) Update(v *T, change func(*T)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(v)
}

// List returns copies in the order of arrival; never nil.
func (r *Runs[T]) List() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, len(r.list))
	for i, v := range r.list {
		out[i] = *v
	}
	return out
}

// Route answers GET /standin/runs with the records as JSON and DELETE /standin/runs by dropping them.
func (r *Runs[T]) Route(m *http.ServeMux) {
	m.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, r.List())
	})
	m.HandleFunc("DELETE /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		r.Clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

// Clear drops all records; the numbers go on.
func (r *Runs[T]) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = nil
}

// Package bencher measures the decisions about slots: it plays a trace in
// virtual time through the project's own policies, against small fake servers
// and fake callers, and counts what became of every request.
//
// It is a discrete-event runner and not a model of a cluster: one heap of
// events, no goroutines, no real time. The same scenario with the same seed
// gives the same table, bit for bit, so that tables serve as golden files.
package bencher

package dispatcher

import (
	"slices"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// answerOrigin is the software version that began an answer. What two versions write doesn't fit together, and engines don't
// check it, so the answer goes on only there. The zero value is that of an answer without a token, which any version may begin.
type answerOrigin struct {
	began   bool
	version string
}

// record records the upstream of an attempt that ended, with the number of tokens in the answer.
func (o *answerOrigin) record(upstream configurer.Upstream, progress int) {
	if !o.began && progress > 0 {
		o.began, o.version = true, upstream.SoftwareVersion
	}
}

// accepts reports whether the answer may go on at the upstream.
func (o *answerOrigin) accepts(upstream configurer.Upstream) bool {
	return !o.began || upstream.SoftwareVersion == o.version
}

// others returns the names of the upstreams at which the answer may not go on, sorted.
func (o *answerOrigin) others(service configurer.Service) []string {
	var names []string

	for name, upstream := range service.Upstreams {
		if !o.accepts(upstream) {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	return names
}

// check returns the final error of an answer for which only upstreams of other versions are left, or nil.
func (o *answerOrigin) check(service configurer.Service, history History) *classifier.Error {
	others := false

	for _, upstream := range service.Upstreams {
		if upstream.Leaving {
			continue
		}

		if o.accepts(upstream) {
			return nil
		}

		others = true
	}

	if !others {
		return nil
	}

	return o.failure(history)
}

func (o *answerOrigin) failure(history History) *classifier.Error {
	failure := classifier.New(classifier.StreamVersionGone, "no upstream runs the version %q that began the answer", o.version)
	failure.Ran = history.RanState()

	return failure
}

package relayer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxCurrentAge is the age of the configuration and of the list of upstreams up to which what they lack doesn't exist. Nodes read
// them every 0.6 s, and what they read takes a second to reach all.
const maxCurrentAge = 3 * time.Second

// ResumeCounts counts what resumes a stream.
type ResumeCounts struct {
	// InAnswer counts the attempts that follow one which broke off after its first event was delivered.
	InAnswer int64 `json:"in_answer"`
	// ByCaller counts the requests with which callers resume a stream.
	ByCaller int64 `json:"by_caller"`
	// Unnamed counts those of ByCaller that don't say which stream they resume.
	Unnamed int64 `json:"unnamed"`
}

// resumeCounters are the counters behind ResumeCounts.
type resumeCounters struct {
	inAnswer, byCaller, unnamed atomic.Int64
}

// ResumeCounts returns how often a stream was resumed.
func (r *Relayer) ResumeCounts() ResumeCounts {
	return ResumeCounts{InAnswer: r.resumes.inAnswer.Load(), ByCaller: r.resumes.byCaller.Load(), Unnamed: r.resumes.unnamed.Load()}
}

// pinResumed finds out which software version began the stream that the request resumes, if it resumes one. Without it, the
// request must not run: events of two versions don't fit together, and upstreams don't check it.
func (r *Relayer) pinResumed(ctx context.Context, request *request) *classifier.Error {
	// Another configuration than this node's may say that the route's streams may be resumed.
	hasEvents := request.route.Kind == cataloguer.Stream && request.progress.read().lastEventID != ""
	if !hasEvents && request.resumes == "" {
		return nil
	}

	r.resumes.byCaller.Add(1)

	origin, finding := r.findOrigin(ctx, request)

	switch {
	case finding == pinner.Unavailable:
		return classifier.New(classifier.StreamUnknown, "those that may know what began the stream don't answer").After(jitteredRetryAfter())
	case finding != pinner.Found && request.resumes == "":
		return classifier.New(classifier.StreamLost, "the request doesn't say which one began the stream")
	case finding != pinner.Found:
		return classifier.New(classifier.StreamLost, "no record is left of what began the stream")
	case !request.route.LeadsTo(origin.Service):
		return classifier.New(classifier.StreamVersionGone, "the route doesn't lead to the service that began the stream")
	}

	request.service = origin.Service
	request.origin.Store(&origin)

	return nil
}

// findOrigin returns what began the stream that the request resumes: by the record that nodes have of it, or if there is none, since the
// path leads and led to one service whose upstreams had one software version only, or else by the record that outlasts the nodes.
func (r *Relayer) findOrigin(ctx context.Context, request *request) (pinner.Origin, pinner.Finding) {
	if request.resumes == "" {
		r.resumes.unnamed.Add(1)

		return r.soleOrigin(ctx, request)
	}

	key := pinner.KeyOf(request.organisation, request.resumes)

	origin, finding := r.options.Pins.Find(ctx, key)
	if finding == pinner.Found {
		return origin, finding
	}

	sole, soleFinding := r.soleOrigin(ctx, request)
	if soleFinding == pinner.Found {
		return sole, soleFinding
	}

	archived, archiveFinding := r.options.Pins.Archived(ctx, key)

	r.resumeLogger.Info().Str("request_id", request.id).Str("resumes", request.resumes).Stringer("nodes", finding).
		Stringer("versions", soleFinding).Stringer("archive", archiveFinding).Msg("stream_not_known_to_nodes")

	switch {
	case archiveFinding == pinner.Found:
		return archived, archiveFinding
	case slices.Contains([]pinner.Finding{finding, soleFinding, archiveFinding}, pinner.Unavailable):
		return pinner.Origin{}, pinner.Unavailable
	default:
		return pinner.Origin{}, pinner.NotFound
	}
}

// soleOrigin returns what began any stream on the request's path, if that leads and led to one service whose upstreams had one software version.
func (r *Relayer) soleOrigin(ctx context.Context, request *request) (pinner.Origin, pinner.Finding) {
	since := r.options.Catalog.Now()

	// A request that names no stream can't be told from one whose stream began after a move of its route, and nothing else tells of it.
	if request.resumes != "" {
		configuration := r.options.Catalog.State().Configuration
		since -= configuration.StreamLifetime()
	}

	service, ok := request.decided.table.SoleService(request.host, request.path, since)
	if !ok {
		return pinner.Origin{}, pinner.NotFound
	}

	origin, finding := r.options.Pins.Sole(ctx, service)
	if finding != pinner.Found {
		return origin, finding
	}

	state := r.options.Catalog.State()
	age, known := state.RegistryFreshness.Age()

	switch {
	case listsOtherVersion(state, origin):
		// Nodes of an older release don't record versions.
		return pinner.Origin{}, pinner.NotFound
	case !known || age > maxCurrentAge || !request.decided.isCurrent():
		// The stream may be from an upstream or by a route that only other nodes have heard of.
		return pinner.Origin{}, pinner.Unavailable
	}

	return origin, finding
}

// listsOtherVersion reports whether the service has an upstream of another software version, or of one that isn't known.
func listsOtherVersion(state *cataloguer.State, origin pinner.Origin) bool {
	for upstream := range state.Registry.Upstreams.All() {
		if upstream.Service == origin.Service && upstream.SoftwareVersion != origin.SoftwareVersion {
			return true
		}
	}

	return false
}

// originOf returns what begins the request's stream if its first event comes from the chosen upstream.
func (r *Relayer) originOf(request *request, choice balancer.Choice) pinner.Origin {
	if origin := request.origin.Load(); origin != nil {
		return *origin
	}

	return pinner.Origin{Service: request.service, SoftwareVersion: r.versionOf(choice)}
}

// pin records what began the stream, right before its first event is delivered. A request that resumes a stream extends the
// time for which that is remembered.
func (r *Relayer) pin(request *request, origin pinner.Origin) {
	if !request.route.Resumable {
		return
	}

	request.origin.CompareAndSwap(nil, &origin)

	for _, id := range []string{request.id, request.resumes} {
		if id != "" {
			r.options.Pins.Record(pinner.KeyOf(request.organisation, id), origin, time.Until(request.deadline))
		}
	}
}

// versionOf returns the software version of a chosen upstream, or "" if it isn't known: whoever chose it and this node may
// know different entries of it.
func (r *Relayer) versionOf(choice balancer.Choice) string {
	listed := r.softwareVersion(choice.Upstream)

	switch {
	case choice.SoftwareVersion == "" || choice.SoftwareVersion == listed:
		return listed
	case listed == "":
		return choice.SoftwareVersion
	default:
		return ""
	}
}

// hasOriginVersion reports whether the chosen upstream has the software version that began the stream, if one did.
func (r *Relayer) hasOriginVersion(request *request, choice balancer.Choice) bool {
	origin := request.origin.Load()

	return origin == nil || origin.IsKnown() && r.versionOf(choice) == origin.SoftwareVersion
}

// versionGone returns the refusal of a request whose stream no listed upstream can go on with, or nil if there is one. It is final if the
// list is current and had such an upstream.
func (r *Relayer) versionGone(request *request) *classifier.Error {
	origin := request.origin.Load()
	if origin == nil {
		return nil
	}

	state := r.options.Catalog.State()

	for upstream := range state.Registry.Upstreams.All() {
		if upstream.Service == origin.Service && upstream.SoftwareVersion == origin.SoftwareVersion && !upstream.Draining {
			return nil
		}
	}

	failure := classifier.New(classifier.StreamVersionGone, "no upstream runs the version %q that began the stream", origin.SoftwareVersion)

	if age, known := state.RegistryFreshness.Age(); !known || age > maxCurrentAge || r.options.Pins.MayBeNew(*origin) {
		return failure.After(jitteredRetryAfter())
	}

	return failure
}

// recordResume counts and logs an attempt that resumes a stream.
func (r *Relayer) recordResume(a *attempt, send int) {
	request := a.request
	if request.route.Kind != cataloguer.Stream || a.lastEventID == "" {
		return
	}

	if a.started {
		r.resumes.inAnswer.Add(1)
	}

	r.resumeLogger.Info().Str("request_id", request.id).Str("resumes", request.resumes).Str("last_event", a.lastEventID).
		Bool("in_answer", a.started).Str("upstream", a.choice.Upstream).Str("software_version", r.softwareVersion(a.choice.Upstream)).
		Int("send", send).Msg("stream_resumed")
}

// softwareVersion returns the listed software version of an upstream, or "" if it isn't known.
func (r *Relayer) softwareVersion(upstream string) string {
	listed, _ := r.options.Catalog.State().Registry.Upstreams.Get(upstream)

	return listed.SoftwareVersion
}

package relayer

import (
	"net/http"
	"strings"
)

// Headers holds the names of the headers between callers, nodes and upstreams, in canonical form.
type Headers struct {
	// RequestID identifies a caller's attempt; upstreams repeat it in their responses.
	RequestID string
	// Deadline is the number of milliseconds that the sender will wait.
	Deadline string
	// LastEventID is the ID of the last event of a stream that the caller received.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that a request resumes.
	Resumes string
	// TokenCounts is the number of prompt tokens and the maximum number of tokens to generate, separated by a comma.
	TokenCounts string
	// LengthHint is the caller's estimate of the number of tokens to generate.
	LengthHint string
	// PromptParts lists the parts of the prompt as id:tokens, separated by commas.
	PromptParts string
	// Authorization is the caller's API key, preceded by KeyScheme and a space.
	Authorization string
	KeyScheme     string
	// Organisation is the name of the caller's organisation, for upstreams.
	Organisation string
	// ExpectUpstream is the ID of the intended upstream; any other upstream refuses the request.
	ExpectUpstream string
	// Priority is the rank of a request, for engines.
	Priority string
	// Signature marks a response as made by an upstream.
	Signature string
	// Load is an upstream's numbers of running requests, waiting requests and slots, separated by commas.
	Load string
	// Leaving marks the responses of an upstream that is shutting down and accepts no further requests.
	Leaving string
	// RateLimit is the number of requests per second that an upstream accepts from all nodes together.
	RateLimit string
	// Brittle is the number of requests that an upstream can reject in a second without falling over.
	Brittle string
	// NotRun marks an upstream's response to a request that it did not run.
	NotRun string
	// Reserved lists further headers that only nodes may set.
	Reserved []string
}

// hopByHopHeaders are the headers that apply to one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes the headers that must not be forwarded, including those listed in Connection.
func removeHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}

	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// forUpstream returns the headers of a caller's request without hop-by-hop headers and those that only nodes may set.
func (h *Headers) forUpstream(incoming http.Header) http.Header {
	header := incoming.Clone()
	removeHopByHop(header)

	for _, name := range h.Reserved {
		delete(header, name)
	}

	for _, name := range []string{h.Organisation, h.ExpectUpstream, h.Priority} {
		delete(header, name)
	}

	// net/http would otherwise add a User-Agent that the caller didn't send.
	if len(header["User-Agent"]) == 0 {
		header["User-Agent"] = []string{""}
	}

	return header
}

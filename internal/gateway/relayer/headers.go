package relayer

import (
	"net/http"
	"strings"
)

// Headers names the headers that callers, nodes and upstreams exchange. Names are in canonical form.
type Headers struct {
	// RequestID names a caller's attempt; upstreams repeat it in their answers.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// LastEventID is the id of the last event that the caller has of a stream.
	LastEventID string
	// TokenCounts holds the tokens of the prompt and the most to generate, separated by a comma.
	TokenCounts string
	// PromptParts lists the prompt's parts as id:tokens, separated by commas.
	PromptParts string
	// Authorization carries the caller's key after KeyScheme and a space.
	Authorization string
	KeyScheme     string
	// Organisation tells upstreams whose request it is.
	Organisation string
	// ExpectUpstream is the id of the upstream that is meant; any other one refuses the request.
	ExpectUpstream string
	// Priority tells engines the rank of a request.
	Priority string
	// Signature marks an answer as made by an upstream.
	Signature string
	// Load holds the numbers of running and waiting requests of an upstream and its slots, separated by commas.
	Load string
	// Leaving marks the answers of an upstream that wants no further requests.
	Leaving string
	// NotRun marks an upstream's answer to a request that it did not run.
	NotRun string
	// Reserved are further headers that only nodes may set.
	Reserved []string
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// dropPerConnection removes what must not be passed on, also what Connection itself names.
func dropPerConnection(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}

	for _, name := range perConnection {
		delete(header, name)
	}
}

// outgoing returns the headers of a caller's request without those that only nodes may set.
func (h *Headers) outgoing(incoming http.Header) http.Header {
	header := incoming.Clone()
	dropPerConnection(header)

	for _, name := range h.Reserved {
		delete(header, name)
	}

	for _, name := range []string{h.Organisation, h.ExpectUpstream, h.Priority} {
		delete(header, name)
	}

	// Without a value of its own, net/http would add one that the caller didn't send.
	if len(header["User-Agent"]) == 0 {
		header["User-Agent"] = []string{""}
	}

	return header
}

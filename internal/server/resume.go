package server

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/pkg/classifier"
)

// headerLastEvent is what callers send to get the events after the last one that they have.
const headerLastEvent = "Last-Event-ID"

// headerForwarded marks a resume that another node passed on; it is not passed on again.
const headerForwarded = "Quincepath-Forwarded"

// handleResume gives a caller the rest of an answer, through whichever node it asks.
func (n *Node) handleResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")

	// The key comes first: a stranger must not learn which ids exist.
	organisation, failure := n.tree.authenticate(r)
	if failure != nil {
		n.refuse(w, id, failure)

		return
	}

	owner, incarnation, ok := requestOwner(id)
	if !ok {
		n.refuse(w, id, classifier.New(classifier.UnknownRequest, "%q is not a request id", id))

		return
	}

	if owner != n.identity.node {
		n.passResume(w, r, id, owner)

		return
	}

	run, found := n.runs.find(id)
	if !found || incarnation != n.identity.incarnation {
		n.refuse(w, id, classifier.New(classifier.UnknownRequest, "node %q no longer holds the answer", owner))

		return
	}

	if organisation != run.request.Organisation.Name {
		n.refuse(w, id, classifier.New(classifier.Forbidden, "the request belongs to another organisation"))

		return
	}

	n.deliver(run, w, r, r.Header.Get(headerLastEvent))
}

// passResume copies the answer of the node that holds it.
func (n *Node) passResume(w http.ResponseWriter, r *http.Request, id, owner string) {
	holder, known := n.members.prober.Member(owner)
	if !known || r.Header.Get(headerForwarded) != "" {
		n.refuse(w, id, classifier.New(classifier.UnknownRequest, "there is no node %q", owner))

		return
	}

	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, n.entryURL(holder.Address)+r.URL.Path, http.NoBody)
	if err != nil {
		n.refuse(w, id, classifier.Wrap(err, classifier.InvalidRequest, "the request id can't be passed on"))

		return
	}

	for _, name := range []string{"Authorization", headerLastEvent} {
		request.Header.Set(name, r.Header.Get(name))
	}

	request.Header.Set(headerForwarded, n.identity.node)

	response, err := n.askEntry(request)
	if err != nil {
		n.refuse(w, id, classifier.Wrap(err, classifier.NodeUnreachable, "node %q holds the answer and can't be reached", owner).After(failureRetryAfter))

		return
	}
	defer response.Body.Close()

	for name, values := range response.Header {
		w.Header()[name] = values
	}

	w.WriteHeader(response.StatusCode)

	if err := copyFlushing(w, response.Body); err != nil {
		// A return would end the answer as if it were whole.
		panic(http.ErrAbortHandler)
	}
}

// askEntry sends a request to another node's address for callers.
func (n *Node) askEntry(request *http.Request) (*http.Response, error) {
	response, err := n.entryClient.Do(request)
	if err != nil {
		return nil, err
	}

	if err := headreader.CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()

		return nil, err
	}

	return response, nil
}

// entryURL returns the base URL of another node's address for callers.
func (n *Node) entryURL(address string) string {
	if n.settings.TLS.CertificateFile != "" {
		return "https://" + address
	}

	return "http://" + address
}

// copyFlushing copies a stream and sends each piece on at once.
func copyFlushing(w http.ResponseWriter, stream io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, 16<<10)

	for {
		count, err := stream.Read(buffer)
		if count > 0 {
			if _, failed := w.Write(buffer[:count]); failed != nil {
				return failed
			}

			if failed := control.Flush(); failed != nil {
				return failed
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return err
		}
	}
}

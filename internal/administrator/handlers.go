package administrator

import (
	"net/http"

	"quincepath.example/quincepath/internal/editor"
	"quincepath.example/quincepath/pkg/classifier"
)

type healthAnswer struct {
	Status string `json:"status"`
}

type upstreamsAnswer struct {
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// leaveRequest is the body of a call to take an upstream out of service.
type leaveRequest struct {
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
}

// handleHealth says only that the process answers; it tells strangers nothing else.
func handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, healthAnswer{Status: "ok"})
}

func (s *Server) handleUnknownRoute(w http.ResponseWriter, r *http.Request) {
	s.writeStatus(w, r, http.StatusNotFound, classifier.New(classifier.InvalidRequest, "there is no route %s %s", r.Method, r.URL.Path))
}

func (s *Server) handleNodeStatus(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Status.NodeStatus()
	status.Peers = listed(status.Peers)
	writeJSON(w, status)
}

func (s *Server) handleUpstreams(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, upstreamsAnswer{Upstreams: listed(s.options.Status.UpstreamStatuses())})
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	found, err := s.options.Requests.Request(r.Context(), r.PathValue("id"))
	s.answer(w, r, found, err)
}

// handleLeave marks an upstream as leaving by an edit of its service's branch.
func (s *Server) handleLeave(w http.ResponseWriter, r *http.Request) {
	var body leaveRequest
	if err := readJSON(w, r, &body); err != nil {
		s.writeError(w, r, err)
		return
	}

	edit, err := s.leaveEdit(r, body)
	if err != nil {
		s.writeError(w, r, err)
		return
	}

	s.apply(w, r, edit)
}

func (s *Server) leaveEdit(r *http.Request, body leaveRequest) (Edit, error) {
	service, ok := s.options.Tree.Snapshot().Services[r.PathValue("service")]
	if !ok {
		return Edit{}, classifier.New(classifier.UnknownService, "there is no service %q", r.PathValue("service"))
	}

	name := r.PathValue("name")
	if _, ok := service.Upstreams[name]; !ok {
		return Edit{}, classifier.New(classifier.InvalidRequest, "service %q has no upstream %q", service.Name, name)
	}

	branch, err := s.options.Tree.Branch(r.Context(), service.Branch, false)
	if err != nil {
		return Edit{}, err
	}

	content, err := editor.Set(branch.Content, []string{"upstreams", name, "leaving"}, "true")
	if err != nil {
		return Edit{}, classifier.Wrap(err, classifier.SettingsInvalid, "branch %s can't be edited", branch.Path)
	}

	return Edit{
		Path:         branch.Path,
		BaseRevision: branch.Revision,
		ChangeID:     body.ChangeID,
		Author:       body.Author,
		Content:      content,
	}, nil
}

package administrator

import (
	"net/http"
	"strconv"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// defaultHistory is the number of changes that an answer holds when no limit is given, maxHistory the largest limit.
	defaultHistory = 50
	maxHistory     = 1000
	// maxNameBytes bounds a change's id and its author's name, which the history keeps.
	maxNameBytes = 200
)

type branchesAnswer struct {
	Branches []Branch `json:"branches"`
}

type historyAnswer struct {
	Changes []Change `json:"changes"`
}

// putRequest is the body of a call that writes a branch.
type putRequest struct {
	// BaseRevision is a pointer because 0 says something: that the branch is to be new.
	BaseRevision *int64 `json:"base_revision"`
	ChangeID     string `json:"change_id"`
	Author       string `json:"author"`
	Content      string `json:"content"`
}

// settleRequest is the body of a call that finds out whether a change was applied.
type settleRequest struct {
	Author string `json:"author"`
}

type undoRequest struct {
	Undone   string `json:"undone_change_id"`
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
}

func (s *Server) handleBranches(w http.ResponseWriter, r *http.Request) {
	branches, err := s.options.Tree.Branches(r.Context())
	s.answer(w, r, branchesAnswer{Branches: listed(branches)}, err)
}

func (s *Server) handleBranch(w http.ResponseWriter, r *http.Request) {
	explain, err := explainOf(r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}

	branch, err := s.options.Tree.Branch(r.Context(), r.PathValue("path"), explain)
	s.answer(w, r, branch, err)
}

func explainOf(r *http.Request) (bool, error) {
	text := r.URL.Query().Get("explain")
	if text == "" {
		return false, nil
	}

	explain, err := strconv.ParseBool(text)
	if err != nil {
		return false, classifier.New(classifier.InvalidRequest, "explain is %q; write true or false", text)
	}

	return explain, nil
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var body putRequest
	if err := readJSON(w, r, &body); err != nil {
		s.writeError(w, r, err)
		return
	}

	if body.BaseRevision == nil {
		s.writeError(w, r, classifier.New(classifier.InvalidRequest, "base_revision is missing; write the revision of the branch that was edited, 0 for a new one"))
		return
	}

	s.apply(w, r, Edit{
		Path:         r.PathValue("path"),
		BaseRevision: *body.BaseRevision,
		ChangeID:     body.ChangeID,
		Author:       body.Author,
		Content:      body.Content,
	})
}

// handleDelete takes its inputs from the query, since proxies and clients drop bodies of DELETE.
func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()

	base, err := strconv.ParseInt(query.Get("base_revision"), 10, 64)
	if err != nil {
		s.writeError(w, r, classifier.New(classifier.InvalidRequest, "base_revision is %q; write the revision of the branch", query.Get("base_revision")))
		return
	}

	s.apply(w, r, Edit{
		Path:         r.PathValue("path"),
		BaseRevision: base,
		ChangeID:     query.Get("change_id"),
		Author:       query.Get("author"),
		Delete:       true,
	})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, edit Edit) {
	if err := checkNames(edit.ChangeID, edit.Author); err != nil {
		s.writeError(w, r, err)
		return
	}

	if edit.BaseRevision < 0 {
		s.writeError(w, r, classifier.New(classifier.InvalidRequest, "base_revision is %d; the least is 0", edit.BaseRevision))
		return
	}

	change, err := s.options.Tree.Apply(r.Context(), edit)
	s.answerChange(w, r, change, err)
}

func (s *Server) handleUndo(w http.ResponseWriter, r *http.Request) {
	var body undoRequest
	if err := readJSON(w, r, &body); err != nil {
		s.writeError(w, r, err)
		return
	}

	if err := checkNames(body.ChangeID, body.Author); err != nil {
		s.writeError(w, r, err)
		return
	}

	if body.Undone == "" {
		s.writeError(w, r, classifier.New(classifier.InvalidRequest, "undone_change_id is missing; name the change that is to be taken back"))
		return
	}

	change, err := s.options.Tree.Undo(r.Context(), Undo(body))
	s.answerChange(w, r, change, err)
}

// answerChange logs who changed what; a refusal is logged like any failed call.
func (s *Server) answerChange(w http.ResponseWriter, r *http.Request, change Change, err error) {
	if err != nil {
		s.writeError(w, r, err)
		return
	}

	s.options.Logger.Info().
		Str("change_id", change.ID).
		Str("author", change.Author).
		Str("branch", change.Path).
		Str("state", string(change.State)).
		Int64("revision", change.Revision).
		Msg("tree_changed")
	writeJSON(w, change)
}

// checkNames refuses a change that could neither be asked for again nor be traced to a person.
func checkNames(changeID, author string) error {
	if changeID == "" || len(changeID) > maxNameBytes {
		return classifier.New(classifier.InvalidRequest, "change_id has %d bytes; write 1 to %d, such as a UUID", len(changeID), maxNameBytes)
	}

	if author == "" || len(author) > maxNameBytes {
		return classifier.New(classifier.InvalidRequest, "author has %d bytes; write 1 to %d", len(author), maxNameBytes)
	}

	return nil
}

func (s *Server) handleHistory(w http.ResponseWriter, r *http.Request) {
	limit, err := limitOf(r)
	if err != nil {
		s.writeError(w, r, err)
		return
	}

	changes, err := s.options.Tree.History(r.Context(), r.URL.Query().Get("path"), limit)
	s.answer(w, r, historyAnswer{Changes: listed(changes)}, err)
}

func limitOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultHistory, nil
	}

	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxHistory {
		return 0, classifier.New(classifier.InvalidRequest, "limit is %q; write a number from 1 to %d", text, maxHistory)
	}

	return limit, nil
}

func (s *Server) handleChange(w http.ResponseWriter, r *http.Request) {
	change, err := s.options.Tree.Change(r.Context(), r.PathValue("id"))
	s.answer(w, r, change, err)
}

func (s *Server) handleSettle(w http.ResponseWriter, r *http.Request) {
	var body settleRequest
	if err := readJSON(w, r, &body); err != nil {
		s.writeError(w, r, err)
		return
	}

	id := r.PathValue("id")
	if err := checkNames(id, body.Author); err != nil {
		s.writeError(w, r, err)
		return
	}

	change, err := s.options.Tree.Settle(r.Context(), id, body.Author)
	s.answer(w, r, change, err)
}

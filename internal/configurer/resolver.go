package configurer

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"quincepath.example/quincepath/internal/checker"
	"quincepath.example/quincepath/pkg/classifier"
)

// Resolve checks a whole tree and returns its services. Its revision is that of the last changed branch.
// Its error carries classifier.SettingsInvalid and one line for each problem, with branch and line.
func Resolve(branches []Branch) (Snapshot, error) {
	return NewResolver().Resolve(branches)
}

// Resolver is Resolve that works out again only what an edit touches: the branches whose
// text changed and those that inherit from them. It is safe for concurrent use.
type Resolver struct {
	mu   sync.Mutex
	read map[string]readText
	// last is the tree of the call before.
	last *tree
}

type readText struct {
	text     []byte
	root     *node
	problems []checker.Problem
}

// NewResolver returns a Resolver that has read nothing.
func NewResolver() *Resolver {
	return &Resolver{read: map[string]readText{}}
}

// Resolve is the function Resolve.
func (r *Resolver) Resolve(branches []Branch) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	t := r.merge(branches)
	snapshot := Snapshot{Services: map[string]Service{}}

	for _, v := range t.paths {
		t.addService(snapshot.Services, v)
	}

	t.checkOrganisations()
	// No chain of old trees is kept.
	t.previous = nil
	r.last = t

	for _, v := range branches {
		snapshot.Revision = max(snapshot.Revision, v.Revision)
	}

	if err := t.err(); err != nil {
		return Snapshot{}, err
	}

	return snapshot, nil
}

func (r *Resolver) merge(branches []Branch) *tree {
	t := newTree(r.last)
	sorted := slices.SortedFunc(slices.Values(branches), func(a, b Branch) int { return strings.Compare(a.Path, b.Path) })
	kept := make(map[string]readText, len(sorted))

	for _, v := range sorted {
		if err := CheckPath(v.Path); err != nil {
			t.add(v.Path, checker.Problem{Line: 1, Text: classifier.From(err).Reason})
			continue
		}

		got, ok := r.read[v.Path]
		if !ok || !bytes.Equal(got.text, v.Value) {
			fresh, problems := readBranch(v.Path, v.Value)
			got = readText{text: v.Value, root: keep(got.root, fresh), problems: problems}
		}

		kept[v.Path] = got
		t.add(v.Path, got.problems...)
		t.lay(v.Path, got.root)
	}

	r.read = kept

	return t
}

// tree is a set of branches with what each inherits.
type tree struct {
	// paths has parents before their children.
	paths  []string
	own    map[string]*node
	merged map[string]*node
	// bases holds what each branch was merged with, and conflicts what was wrong with that.
	bases     map[string]*node
	conflicts map[string][]checker.Problem
	// sound holds the services in which nothing is wrong, by branch; flagged is set by every problem found.
	sound   map[string]Service
	flagged bool
	// sets are the sets of organisations of all services, each once, in the order of the services' branches.
	sets               []organisationSet
	organisationsSound bool
	problems           map[string][]checker.Problem
	// previous is the tree from which unchanged parts are taken.
	previous *tree
}

func newTree(previous *tree) *tree {
	if previous == nil {
		previous = &tree{}
	}

	return &tree{
		own:       map[string]*node{},
		merged:    map[string]*node{},
		bases:     map[string]*node{},
		conflicts: map[string][]checker.Problem{},
		sound:     map[string]Service{},
		problems:  map[string][]checker.Problem{},
		previous:  previous,
	}
}

// add keeps each problem once: several services may inherit the same one.
func (t *tree) add(branch string, problems ...checker.Problem) {
	for _, v := range problems {
		if !slices.Contains(t.problems[branch], v) {
			t.problems[branch] = append(t.problems[branch], v)
		}
	}
}

func (t *tree) addAt(at *node, format string, args ...any) {
	t.flagged = true
	t.add(at.branch, checker.Problem{Line: at.line, Text: fmt.Sprintf(format, args...)})
}

func (t *tree) lay(path string, own *node) {
	base := t.ancestor(path)

	t.paths = append(t.paths, path)
	t.own[path] = own
	t.bases[path] = base

	if p := t.previous; p.merged[path] != nil && p.own[path] == own && p.bases[path] == base {
		t.merged[path] = p.merged[path]
		t.conflicts[path] = p.conflicts[path]
	} else {
		var m merger

		t.merged[path] = keep(p.merged[path], m.merge(inherited(base), own, ""))
		t.conflicts[path] = m.problems
	}

	t.add(path, t.conflicts[path]...)
}

// ancestor returns the values of a branch's nearest stored ancestor, or nil.
func (t *tree) ancestor(path string) *node {
	for {
		parent, ok := parentOf(path)
		if !ok {
			return nil
		}

		path = parent

		if found := t.merged[path]; found != nil {
			return found
		}
	}
}

// inherited returns what a branch gets from its ancestor: all but the service's name.
func inherited(from *node) *node {
	if from == nil {
		return nil
	}

	return without(from, "service")
}

func without(from *node, key string) *node {
	if from.children[key] == nil {
		return from
	}

	made := &node{branch: from.branch, line: from.line, children: map[string]*node{}}
	for k, v := range from.children {
		if k != key {
			made.children[k] = v
		}
	}

	return made
}

func (t *tree) err() error {
	var lines []string

	for _, v := range slices.Sorted(maps.Keys(t.problems)) {
		lines = append(lines, checker.Lines(shown(v), t.problems[v])...)
	}

	if len(lines) == 0 {
		return nil
	}

	return classifier.New(classifier.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

package configurer

import (
	"bytes"
	"fmt"
	"reflect"
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

// Resolver is Resolve that reads again only branches whose text changed. It is safe for concurrent use.
type Resolver struct {
	mu   sync.Mutex
	read map[string]readText
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
	t := r.merge(branches)
	snapshot := Snapshot{Services: map[string]Service{}}

	for _, v := range t.paths {
		t.addService(snapshot.Services, v)
	}

	for _, v := range branches {
		snapshot.Revision = max(snapshot.Revision, v.Revision)
	}

	if err := t.err(); err != nil {
		return Snapshot{}, err
	}

	return snapshot, nil
}

func (r *Resolver) merge(branches []Branch) *tree {
	r.mu.Lock()
	defer r.mu.Unlock()

	t := newTree()
	sorted := slices.SortedFunc(slices.Values(branches), func(a, b Branch) int { return strings.Compare(a.Path, b.Path) })
	kept := make(map[string]readText, len(sorted))

	for _, v := range sorted {
		if err := CheckPath(v.Path); err != nil {
			t.add(v.Path, checker.Problem{Line: 1, Text: classifier.From(err).Reason})
			continue
		}

		got, ok := r.read[v.Path]
		if !ok || !bytes.Equal(got.text, v.Value) {
			got.text = v.Value
			got.root, got.problems = readBranch(v.Path, v.Value)
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
	paths    []string
	own      map[string]*node
	merged   map[string]*node
	decoder  decoder
	owners   map[string]owner
	checked  map[*node]bool
	problems map[string][]checker.Problem
}

// owner is the organisation that a bearer key belongs to.
type owner struct {
	organisation string
	at           *node
}

func newTree() *tree {
	return &tree{
		own:      map[string]*node{},
		merged:   map[string]*node{},
		decoder:  decoder{done: map[*node]reflect.Value{}},
		owners:   map[string]owner{},
		checked:  map[*node]bool{},
		problems: map[string][]checker.Problem{},
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
	t.add(at.branch, checker.Problem{Line: at.line, Text: fmt.Sprintf(format, args...)})
}

func (t *tree) lay(path string, own *node) {
	var m merger

	t.paths = append(t.paths, path)
	t.own[path] = own
	t.merged[path] = m.merge(t.inherited(path), own, "")
	t.add(path, m.problems...)
}

// inherited returns what a branch gets from its nearest stored ancestor: all but the service's name.
func (t *tree) inherited(path string) *node {
	for {
		parent, ok := parentOf(path)
		if !ok {
			return nil
		}

		path = parent

		if found := t.merged[path]; found != nil {
			return without(found, "service")
		}
	}
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

	for _, v := range slices.Sorted(keysOf(t.problems)) {
		lines = append(lines, checker.Lines(shown(v), t.problems[v])...)
	}

	if len(lines) == 0 {
		return nil
	}

	return classifier.New(classifier.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

package configurer

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"quincepath.example/quincepath/internal/checker"
)

// branchFields are the keys of a branch's text.
type branchFields struct {
	// Service names the service of this very branch; the last part of the path when left out. It is not inherited.
	Service       string                  `yaml:"service" validate:"name"`
	Kind          Kind                    `yaml:"kind" validate:"oneof=engine plain"`
	DefaultClass  string                  `yaml:"default_class" validate:"name"`
	Classes       map[string]classFields  `yaml:"classes"`
	Organisations map[string]Organisation `yaml:"organisations"`
	Upstreams     map[string]Upstream     `yaml:"upstreams"`
	// Levels are the service levels that classes name by their key level.
	Levels  map[string]Class `yaml:"levels"`
	Desired Desired          `yaml:"desired"`
	Orders  Orders           `yaml:"orders"`
}

type classFields struct {
	// Level names the service level whose values hold where the class gives none.
	Level string `yaml:"level" validate:"name"`
	Class
}

// node is a value of a branch, or of several merged, that knows where it was written.
// Merged trees share nodes with their parents and with the trees before them, so what
// was written is never changed; only value and sound are filled in, under the Resolver's lock.
type node struct {
	branch string
	line   int
	// removed marks an explicit null, and removes a node with one in it.
	removed, removes bool
	// sound says that the struct decoded from the node breaks no rule.
	sound bool
	// children is nil for a leaf.
	children map[string]*node
	// value is what a leaf holds, in the type of its field; for others what was decoded from them, once it was.
	value reflect.Value
	// text is a leaf as it was written.
	text string
}

func (n *node) child(key string) *node {
	if n == nil {
		return nil
	}

	return n.children[key]
}

// nearest returns the node at path, or the last one on the way to it.
func (n *node) nearest(path []string) *node {
	for _, v := range path {
		next := n.child(v)
		if next == nil {
			return n
		}

		n = next
	}

	return n
}

// keep returns old in place of fresh where both hold the same, so that what was worked out
// from it holds on. What is fresh takes over all parts of old that are the same.
func keep(old, fresh *node) *node {
	if old == nil || old == fresh {
		return fresh
	}

	same := old.branch == fresh.branch && old.line == fresh.line && old.removed == fresh.removed

	if old.children == nil || fresh.children == nil {
		if same && old.children == nil && fresh.children == nil && old.holds(fresh) {
			return old
		}

		return fresh
	}

	for k, v := range fresh.children {
		fresh.children[k] = keep(old.children[k], v)
		same = same && fresh.children[k] == old.children[k]
	}

	if same && len(old.children) == len(fresh.children) {
		return old
	}

	return fresh
}

// holds reports whether two leaves have the same value, written alike.
func (n *node) holds(other *node) bool {
	if n.text != other.text || n.value.IsValid() != other.value.IsValid() {
		return false
	}

	return !n.value.IsValid() || reflect.DeepEqual(n.value.Interface(), other.value.Interface())
}

// branchReader turns the text of one branch into nodes and finds what is wrong in it alone.
type branchReader struct {
	branch   string
	problems []checker.Problem
}

func readBranch(path string, text []byte) (*node, []checker.Problem) {
	empty := &node{branch: path, line: 1, children: map[string]*node{}}
	if len(text) > MaxBranchBytes {
		problem := checker.Problem{Line: 1, Text: fmt.Sprintf("the branch has %d bytes; the most is %d", len(text), MaxBranchBytes)}
		return empty, []checker.Problem{problem}
	}

	body, problems := checker.Document(text)
	if len(problems) > 0 || body == nil {
		return empty, problems
	}

	if problems := checker.OverrideTypes(body, reflect.TypeFor[branchFields]()); len(problems) > 0 {
		return empty, problems
	}

	r := branchReader{branch: path}
	root := r.mapping(body, reflect.TypeFor[branchFields](), "")

	return root, r.problems
}

func (r *branchReader) add(at ast.Node, format string, args ...any) {
	r.problems = append(r.problems, checker.Problem{Line: checker.Line(at), Text: fmt.Sprintf(format, args...)})
}

func (r *branchReader) mapping(body ast.Node, want reflect.Type, path string) *node {
	made := &node{branch: r.branch, line: checker.Line(body), children: map[string]*node{}}
	entries, _ := checker.Mapping(body)

	for _, v := range entries {
		key := checker.KeyText(v)
		at := strings.TrimPrefix(path+"."+key, ".")

		if want.Kind() == reflect.Map && !checker.IsName(key) {
			r.add(v, "%s has the name %q; %s", at, key, checker.NameAdvice)
			continue
		}

		entry := r.entry(v, want, key, at)
		entry.line = checker.Line(v)
		made.children[key] = entry
		made.removes = made.removes || entry.removed || entry.removes
	}

	return made
}

func (r *branchReader) entry(entry *ast.MappingValueNode, want reflect.Type, key, path string) *node {
	if entry.Value.Type() == ast.NullType {
		return &node{branch: r.branch, removed: true}
	}

	if want.Kind() == reflect.Map {
		return r.mapping(entry.Value, want.Elem(), path)
	}

	field := checker.Fields(want)[key]
	if kind := field.Type.Kind(); kind == reflect.Map || kind == reflect.Struct {
		return r.mapping(entry.Value, field.Type, path)
	}

	return r.leaf(entry.Value, field, path)
}

func (r *branchReader) leaf(body ast.Node, field reflect.StructField, path string) *node {
	made := &node{branch: r.branch, text: leafText(body)}
	value := reflect.New(field.Type)

	if err := yaml.NodeToValue(body, value.Interface()); err != nil {
		r.add(body, "%s is %s; it can't be read: %s", path, made.text, checker.Located(err).Text)
		return made
	}

	made.value = value.Elem()
	if tag := field.Tag.Get("validate"); tag != "" {
		for _, v := range checker.Var(made.value.Interface(), tag) {
			r.add(body, "%s%s", path, v)
		}
	}

	return made
}

func leafText(body ast.Node) string {
	list, ok := body.(*ast.SequenceNode)
	if !ok {
		return checker.ScalarText(body)
	}

	items := make([]string, 0, len(list.Values))
	for _, v := range list.Values {
		items = append(items, checker.ScalarText(v))
	}

	return "[" + strings.Join(items, ", ") + "]"
}

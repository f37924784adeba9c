package configurer

import (
	"slices"
	"strings"

	"quincepath.example/quincepath/pkg/classifier"
)

// Field is one value that holds in a branch and where it was written.
type Field struct {
	// Key is the path of keys, joined by dots.
	Key string
	// Value is the value as it was written.
	Value string
	// Branch is the path of the branch that it comes from.
	Branch string
	// Line is the line in that branch's text, from 1.
	Line int
	// Level is the service level that gives the value; empty when it is written in the class itself.
	Level string
}

// Explain returns all fields that hold in the branch at path, in order of their keys.
// A path that is not stored holds what it would inherit. The error carries
// classifier.UnknownBranch when no ancestor of it is stored either.
func Explain(branches []Branch, path string) ([]Field, error) {
	if err := CheckPath(path); err != nil {
		return nil, err
	}

	t := NewResolver().merge(branches)

	merged := t.merged[path]
	if merged == nil {
		merged = inherited(t.ancestor(path))
	}

	if merged == nil {
		return nil, classifier.New(classifier.UnknownBranch, "the tree has no branch %s", shown(path))
	}

	fields := explainNode(merged, "", "")
	for k, v := range merged.child("classes").all() {
		fields = append(fields, explainLevel(merged, v, "classes."+k)...)
	}

	slices.SortFunc(fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })

	return fields, nil
}

func explainNode(from *node, key, level string) []Field {
	if from.children == nil {
		return []Field{{Key: key, Value: from.text, Branch: from.branch, Line: from.line, Level: level}}
	}

	var fields []Field
	for k, v := range from.children {
		fields = append(fields, explainNode(v, join(key, k), level)...)
	}

	return fields
}

// explainLevel returns the fields that a class gets from its service level.
func explainLevel(merged, class *node, key string) []Field {
	named := class.child("level")
	if named == nil {
		return nil
	}

	var fields []Field

	for k, v := range merged.child("levels").child(named.text).all() {
		if class.child(k) == nil {
			fields = append(fields, explainNode(v, join(key, k), named.text)...)
		}
	}

	return fields
}

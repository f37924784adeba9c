package checker

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// segments splits a path such as "Settings.peers.nodes[1].name" into keys and
// indexes without the leading type name. Keys in brackets may hold dots.
func segments(namespace string) []string {
	var (
		parts []string
		part  strings.Builder
		depth int
	)

	end := func() {
		if part.Len() > 0 {
			parts = append(parts, part.String())
			part.Reset()
		}
	}

	for _, r := range namespace {
		switch {
		case r == '[' && depth == 0:
			end()
			depth++
		case r == ']' && depth == 1:
			end()
			depth--
		case r == '.' && depth == 0:
			end()
		default:
			part.WriteRune(r)
		}
	}

	end()

	if len(parts) == 0 {
		return nil
	}

	return parts[1:]
}

// LineAt returns the line of the value at path, or that of its nearest parent in the file.
func LineAt(body ast.Node, path []string) int {
	found := 1
	node := body

	for _, v := range path {
		next, at := child(node, v)
		if next == nil {
			return found
		}

		found = at
		node = next
	}

	return found
}

func child(node ast.Node, segment string) (ast.Node, int) {
	if list, ok := node.(*ast.SequenceNode); ok {
		i, err := strconv.Atoi(segment)
		if err != nil || i < 0 || i >= len(list.Values) {
			return nil, 0
		}

		return list.Values[i], Line(list.Values[i])
	}

	entries, _ := Mapping(node)
	for _, v := range entries {
		if KeyText(v) == segment {
			return v.Value, Line(v)
		}
	}

	return nil, 0
}

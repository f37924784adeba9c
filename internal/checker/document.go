// Package checker finds the errors in YAML settings and says on which line each
// stands, what the value is and what would be right.
package checker

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Problem is one error in a document.
type Problem struct {
	// Line counts from 1.
	Line int
	// Text names the key, its value unless secret, and what would be right.
	Text string
	// UnknownKey says that the key is of no use; the values of all others can still be read.
	UnknownKey bool
}

// Readable says whether the values of a document with these problems can be read and checked.
func Readable(problems []Problem) bool {
	return !slices.ContainsFunc(problems, func(p Problem) bool { return !p.UnknownKey })
}

// Document parses data as one YAML document. Its body is nil when data holds nothing but comments.
func Document(data []byte) (ast.Node, []Problem) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, []Problem{Located(err)}
	}

	var bodies []ast.Node

	for _, v := range file.Docs {
		if v.Body != nil && v.Body.Type() != ast.CommentType {
			bodies = append(bodies, v.Body)
		}
	}

	if len(bodies) == 0 {
		return nil, nil
	}

	if len(bodies) > 1 {
		return nil, []Problem{{Line: Line(bodies[1]), Text: "a second document begins; write all settings in one"}}
	}

	return bodies[0], nil
}

// Located returns the Problem that an error of the YAML library tells.
func Located(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Problem{Line: 1, Text: err.Error()}
	}

	text := located.GetMessage()
	if strings.Contains(text, "already defined") {
		text += "; keep one of the two"
	}

	return Problem{Line: located.GetToken().Position.Line, Text: text}
}

// Lines returns the problems in order of line, each as "name:line: text".
func Lines(name string, problems []Problem) []string {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].Line != problems[j].Line {
			return problems[i].Line < problems[j].Line
		}

		return problems[i].Text < problems[j].Text
	})

	lines := make([]string, 0, len(problems))
	for _, v := range problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", name, v.Line, v.Text))
	}

	return lines
}

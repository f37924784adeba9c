package loader

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"quincepath.example/quincepath/internal/checker"
)

func checkValues(settings Settings, body ast.Node) []checker.Problem {
	problems := checker.Ranges(settings, body)

	for k, v := range settings.Services {
		path := []string{"services", k}

		for _, f := range v.resolved(k).Faults() {
			at := append(append([]string(nil), path...), f.Path...)
			problems = append(problems, checker.Problem{
				Line: checker.LineAt(body, at),
				Text: fmt.Sprintf("%s %s", strings.Join(at, "."), f.Text),
			})
		}
	}

	return problems
}

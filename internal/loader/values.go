package loader

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"quincepath.example/quincepath/internal/checker"
	"quincepath.example/quincepath/internal/drainer"
)

func checkValues(settings Settings, body ast.Node) []checker.Problem {
	problems := checker.Ranges(settings, body)
	problems = append(problems, checkDrain(settings.Node, body)...)

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

// checkDrain refuses a stop that ends while callers still keep an entries
// answer that names the node: they would meet a node that is gone.
func checkDrain(node Node, body ast.Node) []checker.Problem {
	least := node.EntryLifetime + drainer.DefaultPropagationTime
	if node.DrainTimeout > least {
		return nil
	}

	return []checker.Problem{{
		Line: checker.LineAt(body, []string{"node", "drain_timeout"}),
		Text: fmt.Sprintf("node.drain_timeout is %v; with entry_lifetime %v it must be longer than %v", node.DrainTimeout, node.EntryLifetime, least),
	}}
}

package loader

import (
	"bytes"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"quincepath.example/quincepath/pkg/classifier"
)

// maxFileBytes bounds what is read, so that a wrong path such as a device can't fill the memory.
const maxFileBytes = 16 << 20

// problem is one error in a file.
type problem struct {
	line int
	text string
}

// Load reads and checks the file at path.
// Its errors carry classifier.SettingsInvalid and one line for each problem.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, unreadable(path, err)
	}

	if !info.Mode().IsRegular() {
		return Settings{}, classifier.New(classifier.SettingsInvalid, "%s is no ordinary file; name a YAML file", path)
	}

	if info.Size() > maxFileBytes {
		return Settings{}, classifier.New(classifier.SettingsInvalid, "%s has %d bytes; at most %d are read", path, info.Size(), maxFileBytes)
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, unreadable(path, err)
	}

	return Parse(path, data)
}

// Parse checks data like Load; name stands for the file in errors.
func Parse(name string, data []byte) (Settings, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, invalid(name, []problem{yamlProblem(err)})
	}

	body, problems := singleBody(file)
	if len(problems) == 0 {
		problems = checkTypes(body)
	}

	if len(problems) > 0 {
		return Settings{}, invalid(name, problems)
	}

	settings := Defaults()
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&settings); err != nil {
		return Settings{}, invalid(name, []problem{yamlProblem(err)})
	}

	if settings.Node.Advertise == "" {
		settings.Node.Advertise = settings.Node.Listen
	}

	if problems := checkValues(settings, body); len(problems) > 0 {
		return Settings{}, invalid(name, problems)
	}

	return settings, nil
}

func singleBody(file *ast.File) (ast.Node, []problem) {
	var bodies []ast.Node

	for _, v := range file.Docs {
		if v.Body != nil && v.Body.Type() != ast.CommentType {
			bodies = append(bodies, v.Body)
		}
	}

	if len(bodies) == 0 {
		return nil, []problem{{line: 1, text: "the file is empty; it needs at least the part node"}}
	}

	if len(bodies) > 1 {
		return nil, []problem{{line: line(bodies[1]), text: "a second document begins; write all settings in one"}}
	}

	return bodies[0], nil
}

func unreadable(path string, err error) error {
	return classifier.Wrap(err, classifier.SettingsInvalid, "can't read the settings file %s", path)
}

func yamlProblem(err error) problem {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return problem{line: 1, text: err.Error()}
	}

	text := located.GetMessage()
	if strings.Contains(text, "already defined") {
		text += "; keep one of the two"
	}

	return problem{line: located.GetToken().Position.Line, text: text}
}

func invalid(name string, problems []problem) error {
	sort.SliceStable(problems, func(i, j int) bool {
		if problems[i].line != problems[j].line {
			return problems[i].line < problems[j].line
		}

		return problems[i].text < problems[j].text
	})

	lines := make([]string, 0, len(problems))
	for _, v := range problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", name, v.line, v.text))
	}

	return classifier.New(classifier.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

// Package docs_test checks that what the documents name exists: commands,
// flags, files, tests, and the names of results, counters and settings.
package docs_test

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
)

// top is the root of the repository.
const top = "../.."

var (
	codeSpan  = regexp.MustCompile("`([^`\n]+)`")
	testName  = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z]\w*$`)
	snakeName = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)
	filePath  = regexp.MustCompile(`^(cmd|internal|pkg|test|docs|examples|traces)/[\w./-]*$|^[\w./-]+\.(md|yaml|jsonl|txt)$`)
	program   = regexp.MustCompile(`^(?:go run \./cmd/)?(quincepath|standin) (.+)$`)
)

// optionalFile exists only while a known fault is not mended.
const optionalFile = "KNOWN-RED.txt"

// document is one page with the code that it names.
type document struct {
	path  string
	spans []string
}

func TestDocumentsNameWhatExists(t *testing.T) {
	source := readSource(t)

	for _, page := range readDocuments(t) {
		for _, span := range page.spans {
			if problem := checkSpan(span, source); problem != "" {
				t.Errorf("%s: `%s`: %s", page.path, span, problem)
			}
		}
	}
}

// checkSpan returns what is wrong with a span, or "".
func checkSpan(span, source string) string {
	switch {
	case testName.MatchString(span):
		if !strings.Contains(source, "func "+span+"(") {
			return "no such test"
		}
	case program.MatchString(span):
		return checkCommand(program.FindStringSubmatch(span))
	case span == optionalFile:
	case filePath.MatchString(span):
		if _, err := os.Stat(filepath.Join(top, span)); err != nil {
			return "no such file"
		}
	case snakeName.MatchString(span):
		if !regexp.MustCompile(`\b` + span + `\b`).MatchString(source) {
			return "no such name in the code"
		}
	}

	return ""
}

// checkCommand compares a command line with the program's own model of its commands and flags.
func checkCommand(match []string) string {
	model := modelOf(match[1])
	group := model.CmdGroupModel
	flags := model.Flags

	for _, word := range strings.Fields(match[2]) {
		if name, ok := strings.CutPrefix(word, "--"); ok {
			name, _, _ = strings.Cut(name, "=")
			if !hasFlag(flags, name) {
				return "no flag --" + name
			}

			continue
		}

		command := findCommand(group, word)
		if command == nil {
			// The first word that is no command is an argument.
			if len(group.Commands) > 0 {
				return "no command " + word
			}

			continue
		}

		group = command.CmdGroupModel
		flags = append(flags, command.Flags...)
	}

	return ""
}

func modelOf(name string) *kingpin.ApplicationModel {
	f := &factory.Factory{Streams: factory.Streams{In: &bytes.Buffer{}, Out: io.Discard, Err: io.Discard}}
	if name == "standin" {
		return root.Standin(f).Model()
	}

	return root.Quincepath(f).Model()
}

func findCommand(group *kingpin.CmdGroupModel, name string) *kingpin.CmdModel {
	for _, v := range group.Commands {
		if v.Name == name {
			return v
		}
	}

	return nil
}

func hasFlag(flags []*kingpin.FlagModel, name string) bool {
	for _, v := range flags {
		if v.Name == name {
			return true
		}
	}

	return false
}

func readDocuments(t *testing.T) []document {
	t.Helper()

	var pages []document

	for _, pattern := range []string{"*.md", "docs/*.md"} {
		paths, err := filepath.Glob(filepath.Join(top, pattern))
		assert.NilError(t, err)

		for _, path := range paths {
			text, err := os.ReadFile(path)
			assert.NilError(t, err)

			pages = append(pages, document{path: path, spans: spansOf(string(text))})
		}
	}

	assert.Assert(t, len(pages) > 0)

	return pages
}

// spansOf returns the inline code and the command lines of code blocks.
func spansOf(text string) []string {
	var spans []string

	inBlock := false

	for line := range strings.Lines(text) {
		trimmed := strings.TrimSpace(line)

		switch {
		case strings.HasPrefix(trimmed, "```"):
			inBlock = !inBlock
		case inBlock && program.MatchString(trimmed):
			spans = append(spans, trimmed)
		case !inBlock:
			for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
				spans = append(spans, match[1])
			}
		}
	}

	return spans
}

// readSource joins all code and all settings files of the repository.
func readSource(t *testing.T) string {
	t.Helper()

	var source strings.Builder

	err := filepath.WalkDir(top, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}

		if ext := filepath.Ext(path); ext != ".go" && ext != ".yaml" && ext != ".yml" {
			return nil
		}

		text, err := os.ReadFile(path)
		source.Write(text)

		return err
	})
	assert.NilError(t, err)

	return source.String()
}

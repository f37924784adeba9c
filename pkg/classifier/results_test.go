package classifier_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/pkg/classifier"
)

const page = "../../docs/RESULTS.md"

// row is the table row that docs/RESULTS.md has for a code.
func row(d classifier.Description) string {
	return fmt.Sprintf("| %d | `%s` | %d | `%s` | %s | %s |", d.Code, d.Name, d.Status, d.Ran, d.Meaning, d.Action)
}

// Symptom: an operator looks up a result code and finds nothing, or an old meaning.
// Sequence: a code is added or changed in the code alone.
// Cause: the page and the code are written apart.
func TestPageHasEveryCode(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)

	var listed, wanted []string

	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Code") {
			listed = append(listed, strings.TrimSpace(line))
		}
	}

	for _, v := range classifier.Descriptions() {
		wanted = append(wanted, row(v))
	}

	if update := flag.Lookup("update"); update != nil && update.Value.String() == "true" {
		head, _, _ := strings.Cut(string(text), "|---|---|---|---|---|---|\n")
		rows := strings.Join(wanted, "\n")
		assert.NilError(t, os.WriteFile(page, []byte(head+"|---|---|---|---|---|---|\n"+rows+"\n"), 0o644))

		return
	}

	assert.DeepEqual(t, listed, wanted)
}

func TestCodesAreUsable(t *testing.T) {
	names := map[string]bool{}
	descriptions := classifier.Descriptions()

	assert.Equal(t, classifier.MaxCode, classifier.Code(125))
	assert.Assert(t, slices.IsSortedFunc(descriptions, func(a, b classifier.Description) int { return int(a.Code - b.Code) }))

	for _, v := range descriptions {
		assert.Assert(t, v.Code >= 0 && v.Code <= classifier.MaxCode, "%d is no exit status", v.Code)
		assert.Assert(t, !names[v.Name], "%s stands twice", v.Name)
		assert.Assert(t, v.Meaning != "" && v.Action != "" && v.Name != "", "%d lacks a text", v.Code)
		names[v.Name] = true
	}
}

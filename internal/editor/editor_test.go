package editor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/editor"
)

const branch = `# the counter
kind: engine
classes:
  # groomers wait with a wet dog
  booking:
    tier: 1
    target: 300ms # agreed in May
  owner_chat:
    tier: 3
upstreams: {}
`

func TestSetKeepsCommentsAndOrder(t *testing.T) {
	text, err := editor.Set(branch, []string{"classes", "booking", "target"}, "250ms")
	assert.NilError(t, err)
	text, err = editor.Set(text, []string{"upstreams", "e.1", "leaving"}, "true")
	assert.NilError(t, err)
	text, err = editor.Remove(text, []string{"classes", "owner_chat"})
	assert.NilError(t, err)

	assert.Equal(t, text, `# the counter
kind: engine
classes:
  # groomers wait with a wet dog
  booking:
    tier: 1
    target: 250ms # agreed in May
upstreams:
  e.1:
    leaving: true
`)
}

func TestWrongPathsAndValues(t *testing.T) {
	_, err := editor.Set(branch, []string{"kind", "tier"}, "1")
	assert.Error(t, err, "kind has a value; it can't hold the key tier")
	_, err = editor.Set(branch, []string{"kind"}, "{")
	assert.ErrorContains(t, err, `the value "{" of kind is no YAML`)
	_, err = editor.Set("- a", []string{"kind"}, "plain")
	assert.ErrorContains(t, err, "no YAML mapping")
	_, err = editor.Remove(branch, []string{"classes", "care_notes"})
	assert.ErrorIs(t, err, editor.ErrNotFound)

	for _, v := range []string{"", "a..b", ".a", `a."b`} {
		_, err := editor.SplitPath(v)
		assert.ErrorContains(t, err, "is no path")
	}

	keys, err := editor.SplitPath(`organisations."a.b".weight`)
	assert.NilError(t, err)
	assert.DeepEqual(t, keys, []string{"organisations", "a.b", "weight"})
}

// FuzzSet looks for texts that end the process, or that come out as no YAML.
func FuzzSet(f *testing.F) {
	for _, v := range []string{branch, "", "{}", "a: {b: [1, 2]}", "a: &x 1\nb: *x\n", "a: |\n  text\nb: >-\n  more\n", "'a': \"b\" # c\n"} {
		f.Add(v, "classes.booking.tier", "2")
	}

	f.Fuzz(func(t *testing.T, text, path, value string) {
		keys, err := editor.SplitPath(path)
		if err != nil {
			return
		}

		edited, err := editor.Set(text, keys, value)
		if err != nil {
			return
		}

		if _, err := editor.Set(edited, []string{"kind"}, "plain"); err != nil {
			t.Fatalf("%q became %q: %v", text, edited, err)
		}
	})
}

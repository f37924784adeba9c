package differ_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/differ"
)

func TestDiff(t *testing.T) {
	tests := []struct{ before, after, want string }{
		{"a\nb\n", "a\nb\n", ""},
		{"a\nb\nc\n", "a\nx\nc\n", " a\n-b\n+x\n c\n"},
		{"", "a\n", "+a\n"},
		{"a\n", "", "-a\n"},
	}

	for _, tt := range tests {
		assert.Equal(t, differ.Diff(tt.before, tt.after), tt.want)
	}
}

// Both texts can be read back out of the difference.
func TestDiffLosesNoLine(t *testing.T) {
	text := rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "", "-c"}), 1, 12), func(v []string) string {
		return strings.Join(v, "\n") + "\n"
	})

	rapid.Check(t, func(t *rapid.T) {
		before, after := text.Draw(t, "before"), text.Draw(t, "after")
		if before == after {
			return
		}

		var readBefore, readAfter strings.Builder

		for line := range strings.Lines(differ.Diff(before, after)) {
			if line[0] != '+' {
				readBefore.WriteString(line[1:])
			}

			if line[0] != '-' {
				readAfter.WriteString(line[1:])
			}
		}

		assert.Equal(t, readBefore.String(), before)
		assert.Equal(t, readAfter.String(), after)
	})
}

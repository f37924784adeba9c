package configurer

import (
	"fmt"
	"strings"
)

// maxDiffCells bounds the table of a line diff; larger texts are shown as all removed and all added.
const maxDiffCells = 1 << 20

// hunk says how one text becomes another: at line At, counted from 0, the
// lines Removed give way to the lines Added. It works both ways.
type hunk struct {
	At      int      `json:"at"`
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}

	return strings.SplitAfter(text, "\n")
}

// newHunk returns the smallest single hunk from before to after.
func newHunk(before, after string) hunk {
	a, b := splitLines(before), splitLines(after)
	start := 0

	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}

	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA--
		endB--
	}

	return hunk{At: start, Removed: a[start:endA], Added: b[start:endB]}
}

// revert returns the text before the hunk, and false when after isn't the text that the hunk made.
func (h hunk) revert(after string) (string, bool) {
	lines := splitLines(after)
	end := h.At + len(h.Added)

	if h.At < 0 || end > len(lines) || strings.Join(lines[h.At:end], "") != strings.Join(h.Added, "") {
		return "", false
	}

	return strings.Join(lines[:h.At], "") + strings.Join(h.Removed, "") + strings.Join(lines[end:], ""), true
}

// lineDiff returns the lines removed and added from one text to another, each with its number.
func lineDiff(before, after string) string {
	h := newHunk(before, after)
	a, b := h.Removed, h.Added

	var out strings.Builder

	common := commonLengths(a, b)
	i, j := 0, 0

	for i < len(a) || j < len(b) {
		switch {
		case common != nil && i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case i < len(a) && (j == len(b) || common == nil || common[i+1][j] >= common[i][j+1]):
			fmt.Fprintf(&out, "-%d: %s\n", h.At+i+1, strings.TrimSuffix(a[i], "\n"))
			i++
		default:
			fmt.Fprintf(&out, "+%d: %s\n", h.At+j+1, strings.TrimSuffix(b[j], "\n"))
			j++
		}
	}

	return out.String()
}

// commonLengths returns for each pair of positions the length of the longest common
// subsequence behind them, or nil when the table would grow too large.
func commonLengths(a, b []string) [][]int32 {
	if (len(a)+1)*(len(b)+1) > maxDiffCells {
		return nil
	}

	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}

	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			table[i][j] = max(table[i+1][j], table[i][j+1])
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			}
		}
	}

	return table
}

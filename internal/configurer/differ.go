package configurer

import (
	"fmt"
	"strings"
)

// maxDiffCells bounds the table of a line diff; larger texts are shown as all removed and all added.
const maxDiffCells = 1 << 20

// Patch says how one text becomes another: at line At, counted from 0, the
// lines Removed give way to the lines Added. It works both ways.
type Patch struct {
	At      int      `json:"at"`
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// NewPatch returns the patch of fewest neighbouring lines from before to after.
func NewPatch(before, after string) Patch {
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

	return Patch{At: start, Removed: a[start:endA], Added: b[start:endB]}
}

// Revert returns the text before the patch, and false when after isn't the text that the patch made.
func (p Patch) Revert(after string) (string, bool) {
	lines := splitLines(after)
	end := p.At + len(p.Added)

	if p.At < 0 || end > len(lines) || strings.Join(lines[p.At:end], "") != strings.Join(p.Added, "") {
		return "", false
	}

	return ReplaceLines(after, p.At, len(p.Added), p.Removed)
}

// ReplaceLines puts lines in the place of count lines from line at, counted from 0; false when text lacks those.
func ReplaceLines(text string, at, count int, lines []string) (string, bool) {
	old := splitLines(text)
	if at < 0 || count < 0 || at > len(old) || count > len(old)-at {
		return "", false
	}

	return strings.Join(old[:at], "") + strings.Join(lines, "") + strings.Join(old[at+count:], ""), true
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}

	return strings.SplitAfter(text, "\n")
}

// lineDiff returns the lines removed and added from one text to another, each with its number.
func lineDiff(before, after string) string {
	p := NewPatch(before, after)
	a, b := p.Removed, p.Added

	var out strings.Builder

	common := commonLengths(a, b)
	i, j := 0, 0

	for i < len(a) || j < len(b) {
		switch {
		case common != nil && i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case i < len(a) && (j == len(b) || common == nil || common[i+1][j] >= common[i][j+1]):
			fmt.Fprintf(&out, "-%d: %s\n", p.At+i+1, strings.TrimSuffix(a[i], "\n"))
			i++
		default:
			fmt.Fprintf(&out, "+%d: %s\n", p.At+j+1, strings.TrimSuffix(b[j], "\n"))
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

// Package differ shows what two texts have unlike, line by line.
package differ

import "strings"

// maxLines bounds the work, which grows with the product of both lengths.
const maxLines = 1500

// Diff returns all lines: those of before alone after "-", those of after
// alone after "+", common ones after a space. It returns "" for equal texts.
// Texts of more than 1500 lines are shown as wholly replaced.
func Diff(before, after string) string {
	if before == after {
		return ""
	}

	a, b := lines(before), lines(after)

	var shown strings.Builder

	if len(a) > maxLines || len(b) > maxLines {
		write(&shown, "-", a)
		write(&shown, "+", b)

		return shown.String()
	}

	common := commonLengths(a, b)
	i, j := 0, 0

	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			write(&shown, " ", a[i:i+1])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			write(&shown, "-", a[i:i+1])
			i++
		default:
			write(&shown, "+", b[j:j+1])
			j++
		}
	}

	write(&shown, "-", a[i:])
	write(&shown, "+", b[j:])

	return shown.String()
}

// commonLengths returns at i, j the length of the longest common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}

	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}

	return lengths
}

func lines(text string) []string {
	if text == "" {
		return nil
	}

	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

func write(shown *strings.Builder, mark string, lines []string) {
	for _, v := range lines {
		shown.WriteString(mark)
		shown.WriteString(v)
		shown.WriteByte('\n')
	}
}

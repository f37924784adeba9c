package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"quincepath.example/quincepath/pkg/classifier"
)

const noValue = "-"

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")

	return errors.Wrap(encoder.Encode(r), "write the report")
}

// WriteText writes the report as tables for a terminal.
func (r Report) WriteText(w io.Writer) error {
	parts := []string{r.classTable(), r.resultLines(), r.totalLines()}
	if len(r.Checks) > 0 {
		parts = append(parts, r.checkTable())
	}

	_, err := io.WriteString(w, strings.Join(parts, "\n")+"\n")

	return errors.Wrap(err, "write the report")
}

func (r Report) classTable() string {
	t := newTable()
	t.AppendHeader(table.Row{
		"class", "asked", "whole", "refused", "failed", "target ms", "attainment",
		"p50 ms", "p95 ms", "gap p95", "good tok/s", "good ans/s", "wasted tok",
	})

	for _, v := range r.Classes {
		t.AppendRow(table.Row{
			v.Name(), v.Asked, v.Whole, v.Refused, v.Failed, positive(v.TargetMS, "%.0f"), fmt.Sprintf("%.3f", v.Attainment),
			fmt.Sprintf("%.1f", v.Latency.P50), fmt.Sprintf("%.1f", v.Latency.P95), positive(v.Gap.P95, "%.1f"),
			positive(v.GoodTokensPerSecond, "%.0f"), fmt.Sprintf("%.1f", v.GoodAnswersPerSecond), count(v.WastedTokens),
		})
	}

	s := r.Total
	t.AppendFooter(table.Row{
		"all", s.Asked, s.Whole, s.Refused, s.Failed, "", fmt.Sprintf("%.3f", share(s.Attained, s.Asked)), "", "", "",
		positive(s.GoodTokensPerSecond, "%.0f"), fmt.Sprintf("%.1f", s.GoodAnswersPerSecond), count(s.WastedTokens),
	})

	right := make([]table.ColumnConfig, 0, 12)
	for i := 2; i <= 13; i++ {
		right = append(right, table.ColumnConfig{Number: i, Align: text.AlignRight, AlignFooter: text.AlignRight, AlignHeader: text.AlignRight})
	}

	t.SetColumnConfigs(right)

	return t.Render()
}

// resultLines lists the numbered results other than ok.
func (r Report) resultLines() string {
	var lines strings.Builder

	for _, v := range r.Classes {
		for _, name := range slices.Sorted(maps.Keys(v.Results)) {
			if name != classifier.OK.String() {
				fmt.Fprintf(&lines, "%s: %d x %s\n", v.Name(), v.Results[name], name)
			}
		}
	}

	return lines.String()
}

func (r Report) totalLines() string {
	var lines strings.Builder

	s := r.Total
	fmt.Fprintf(&lines, "wrong %d, missing %d, double %d, ran though said not run %d\n", s.Wrong, s.Missing, s.Double, s.NotRunButRan)
	fmt.Fprintf(&lines, "%.1f s, %d late sends, %d tries beyond the first", s.TookSeconds, s.LateSends, s.MoreTries)

	if s.ProducedTokens != nil {
		fmt.Fprintf(&lines, ", %d of %d tokens wasted (%.1f %%), %d of them of unknown class",
			*s.WastedTokens, *s.ProducedTokens, 100*share(*s.WastedTokens, *s.ProducedTokens), s.UnassignedTokens)
	}

	return lines.String()
}

func (r Report) checkTable() string {
	t := newTable()
	t.AppendHeader(table.Row{"class", "stated", "measured", "verdict"})

	for _, v := range r.Checks {
		verdict := "met"
		if !v.Met {
			verdict = "missed"
		}

		t.AppendRow(table.Row{v.Class, v.Stated, v.Measured, verdict})
	}

	return t.Render()
}

func newTable() table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.Style().Format.Footer = text.FormatDefault
	t.Style().Options.DrawBorder = false

	return t
}

func positive(value float64, format string) string {
	if value <= 0 {
		return noValue
	}

	return fmt.Sprintf(format, value)
}

func count(value *int) string {
	if value == nil {
		return noValue
	}

	return fmt.Sprint(*value)
}

package bencher

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes one block for each result: a line for each class and one for the whole run.
func WriteTable(w io.Writer, results []Result) error {
	for i := range results {
		if err := writeResult(w, results[i]); err != nil {
			return err
		}
	}

	return nil
}

func writeResult(w io.Writer, r Result) error {
	if _, err := fmt.Fprintf(w, "%s %s %s\n", r.Shop, r.Scenario, r.Policy); err != nil {
		return err
	}

	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\trequests\tattained\tfinished\tfailed\tgiven_up\tbroken\tshed\tlate\tpreempted\tretried\tcame_back\tgot_in\tmax_wait_s\tmax_refusal_s\t")

	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t\n",
			c.Class, c.Tier, c.Requests, c.AttainedShare(), c.FinishedShare(), c.Failed, c.GivenUp, c.Broken, c.Shed, c.Late,
			c.Preempted, c.Retried, c.CameBack, c.GotIn, c.MaxWait.Seconds(), c.MaxRefusal.Seconds())
	}

	if err := table.Flush(); err != nil {
		return err
	}

	messages, mostMessages := meanAndMost(r.Traffic.Messages, r.Length)
	bytes, mostBytes := meanAndMost(r.Traffic.Bytes, r.Length)

	_, err := fmt.Fprintf(w, "goodput_tokens_s=%.0f wasted_share=%.4f prefill_again=%d fill=%.3f least_fill=%.3f put_back=%d unanswered=%d ended_s=%.1f messages_s=%.1f/%.1f bytes_s=%.0f/%.0f\n\n",
		r.Goodput, r.WastedShare(), r.PrefillAgain, r.Fill, r.LeastFill, r.PutBack, r.Unanswered, r.Ended.Seconds(),
		messages, mostMessages, bytes, mostBytes)

	return err
}

// meanAndMost returns the mean and the most over the nodes, by second of the trace.
func meanAndMost(counts [nodes]int, length time.Duration) (mean, most float64) {
	for _, n := range counts {
		mean += float64(n) / nodes / length.Seconds()
		most = max(most, float64(n)/length.Seconds())
	}

	return mean, most
}

// Summary is the run in one line: the attained share of each class by name, and the figures of the whole run.
func (r Result) Summary() string {
	var b strings.Builder

	fmt.Fprintf(&b, "%s %s %s", r.Shop, r.Scenario, r.Policy)

	for _, c := range r.Classes {
		fmt.Fprintf(&b, " %s=%.4f", c.Class, c.AttainedShare())
	}

	messages, mostMessages := meanAndMost(r.Traffic.Messages, r.Length)
	bytes, mostBytes := meanAndMost(r.Traffic.Bytes, r.Length)
	fmt.Fprintf(&b, " goodput=%.0f wasted=%.4f prefill_again=%d messages_s=%.1f/%.1f bytes_s=%.0f/%.0f",
		r.Goodput, r.WastedShare(), r.PrefillAgain, messages, mostMessages, bytes, mostBytes)

	return b.String()
}

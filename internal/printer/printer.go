// Package printer writes the answers of commands: tables for terminals, lines
// of tab-separated values for pipes, JSON for scripts.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// Format is a way to write an answer.
type Format int

// Formats.
const (
	// Pipe writes each row as tab-separated values without a header.
	Pipe Format = iota
	// Terminal writes an aligned table with a header.
	Terminal
	// JSON writes the answer as it came from the node, indented.
	JSON
)

// Choose returns JSON if it is asked for, else what fits the stream.
func Choose(asJSON, terminal bool) Format {
	switch {
	case asJSON:
		return JSON
	case terminal:
		return Terminal
	}

	return Pipe
}

// Table is an answer in rows.
type Table struct {
	// Columns are the header, in lower case.
	Columns []string
	// Rows have one cell for each column.
	Rows [][]string
	// Empty is the sentence for terminals when there are no rows.
	Empty string
	// Data is what JSON writes.
	Data any
}

// Write writes the table in the format.
func Write(out io.Writer, format Format, t Table) error {
	switch format {
	case JSON:
		return WriteJSON(out, t.Data)
	case Terminal:
		return writeTerminal(out, t)
	}

	for _, v := range t.Rows {
		if _, err := fmt.Fprintln(out, strings.Join(flat(v), "\t")); err != nil {
			return err
		}
	}

	return nil
}

// WriteJSON writes data as indented JSON.
func WriteJSON(out io.Writer, data any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")

	return encoder.Encode(data)
}

func writeTerminal(out io.Writer, t Table) error {
	if len(t.Rows) == 0 {
		_, err := fmt.Fprintln(out, t.Empty)
		return err
	}

	w := table.NewWriter()
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	style.Format.Header = text.FormatUpper
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	w.SetStyle(style)
	w.SuppressTrailingSpaces()
	w.AppendHeader(row(t.Columns))

	for _, v := range t.Rows {
		w.AppendRow(row(flat(v)))
	}

	_, err := fmt.Fprintln(out, w.Render())

	return err
}

func row(cells []string) table.Row {
	converted := make(table.Row, len(cells))
	for i, v := range cells {
		converted[i] = v
	}

	return converted
}

// flat keeps each cell on its line and in its column. Names and reasons come
// from other machines; a control character in one could forge a row or drive the terminal.
func flat(cells []string) []string {
	cleaned := make([]string, len(cells))
	for i, v := range cells {
		cleaned[i] = strings.Map(printable, v)
	}

	return cleaned
}

func printable(r rune) rune {
	if r < ' ' || (r >= 0x7f && r < 0xa0) {
		return ' '
	}

	return r
}

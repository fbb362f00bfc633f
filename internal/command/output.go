package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
}

// printResult prints value as JSON, or t, as the output flag says.
func (o *options) printResult(c *cobra.Command, value any, t table) error {
	if o.output == "json" {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		if err := e.Encode(value); err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		return nil
	}
	return t.write(c.OutOrStdout())
}

func (t table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

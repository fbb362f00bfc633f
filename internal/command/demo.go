package command

import (
	"errors"
	"fmt"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
)

func newDemoCommand(o *options) *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use: "demo", Short: "Run a small cell in this process and all kinds of work on it", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := logr.Discard()
			if verbose {
				log = newLogger(c, 1, false)
			}
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			result, err := demo.Run(ctx, log)
			if err != nil {
				return fmt.Errorf("demo: %w", err)
			}
			t := table{header: []string{"WORK", "TEAM", "KIND", "THROUGH", "OUTCOME", "WHERE", "WHY"}}
			for _, r := range result.Rows {
				t.rows = append(t.rows, []string{r.Work, r.Team, string(r.Kind), r.Daemon, string(r.Outcome), r.Hosts, r.Reason})
			}
			if err := o.printResult(c, result, t); err != nil {
				return err
			}
			if !result.OK() {
				return fmt.Errorf("demo: %w: %v", errors.New("some work was not answered or an invariant was violated"), result.Violations)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&verbose, "verbose", false, "show the daemons' logs")
	return c
}

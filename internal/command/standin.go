package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
)

// newStandinCommand returns the command that runs stand-ins for the demo's external systems in a separate process, so that
// daemons can be tried as separate processes, too.
func newStandinCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: "standin", Short: "Run stand-ins of the platform and of backend servers, for trying daemons", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config := demo.Standins()
			config.Listen = listen
			s, err := cell.Start(config)
			if err != nil {
				return fmt.Errorf("start stand-ins: %w", err)
			}
			defer s.Close()
			_, _ = fmt.Fprintf(c.OutOrStdout(), "store-url %s\nbackend-servers %d\n", s.StoreURL(), len(s.Hosts))
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			defer signal.Stop(signals)
			select {
			case <-signals:
			case <-c.Context().Done():
			}
			violations := s.Ledger.Violations()
			for _, v := range violations {
				_, _ = fmt.Fprintln(c.OutOrStdout(), "violation", v.String())
			}
			if len(violations) > 0 {
				return fmt.Errorf("backend servers saw %d violations of invariants", len(violations))
			}
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address of the store stand-in")
	return c
}

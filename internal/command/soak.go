package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/soak"
)

// newSoakCommand returns the command that injects random faults into daemons that run as separate processes.
func newSoakCommand() *cobra.Command {
	var (
		o         soak.Options
		firstSeed uint64
		seedCount uint64
		parallel  int
		report    string
	)
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run daemons under random faults and check what callers and backend servers see",
		Long: "Soak starts daemons of this program on loopback addresses, with stand-ins of the platform, and injects\n" +
			"faults into processes and connections by the plan of each seed. It exits with 1 if a guarantee was violated.",
		Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if o.Binary == "" {
				if o.Binary, err = os.Executable(); err != nil {
					return fmt.Errorf("find the path of this program: %w", err)
				}
			}
			if o.Dir == "" {
				if o.Dir, err = os.MkdirTemp("", "rosemaryspoke-soak"); err != nil {
					return fmt.Errorf("create a directory for settings and logs: %w", err)
				}
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT) // daemons are stopped before the end
			defer stop()
			results, err := runSeeds(ctx, c, o, firstSeed, seedCount, parallel)
			if err != nil {
				return err
			}
			if report != "" {
				if err := soak.WriteReport(report, results); err != nil {
					return err
				}
			}
			failedSeeds := 0
			for _, r := range results {
				if len(r.Violations) > 0 {
					failedSeeds++
				}
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%d of %d seeds had violations; logs in %s\n", failedSeeds, len(results), filepath.Clean(o.Dir))
			if failedSeeds > 0 {
				return fmt.Errorf("%d of %d seeds had violations", failedSeeds, len(results))
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&firstSeed, "first-seed", 1, "first seed")
	f.Uint64Var(&seedCount, "seeds", 1, "number of seeds")
	f.IntVar(&parallel, "parallel", 2, "number of seeds that run at the same time")
	f.StringVar((*string)(&o.Profile), "profile", string(soak.ProfileMixed), fmt.Sprintf("mix of faults and jobs, one of %q", soak.Profiles))
	f.DurationVar(&o.FaultDuration, "length", 12*time.Second, "time during which faults are injected")
	f.IntVar(&o.Daemons, "daemons", 3, "daemons")
	f.IntVar(&o.Servers, "servers", 6, "backend servers")
	f.IntVar(&o.Callers, "callers", 6, "callers")
	f.StringVar((*string)(&o.ServerCalls), "server-calls", "", "who calls the backend servers: direct (the leader) or proxied (other daemons); empty means proxied with the profile server-proxies, else direct")
	f.StringVar(&o.Binary, "binary", "", "program under test, as one of another version; empty means this one")
	f.StringVar(&o.Dir, "dir", "", "directory for settings and logs; empty creates one")
	f.StringVar(&report, "report", "", "file for a report with a time line of each seed, as HTML")
	return c
}

// runSeeds runs the given number of seeds, at most parallel at a time, and prints each result.
func runSeeds(
	ctx context.Context, c *cobra.Command, o soak.Options, firstSeed, seedCount uint64, parallel int,
) ([]soak.Result, error) {
	results := make([]soak.Result, seedCount)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(parallel, 1))
	for n := range seedCount {
		g.Go(func() error {
			r, err := soak.Run(ctx, o, firstSeed+n)
			if err != nil {
				return fmt.Errorf("seed %d: %w", firstSeed+n, err)
			}
			results[n] = r
			_, _ = fmt.Fprintln(c.OutOrStdout(), r)
			return nil
		})
	}
	return results, g.Wait()
}

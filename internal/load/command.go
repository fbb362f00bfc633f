package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
)

// Main runs the loadgen command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := newCommand()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	done := make(chan error, 1)
	go func() { done <- c.ExecuteContext(ctx) }()
	var err error
	select {
	case err = <-done:
	case <-time.After(runTimeout):
		err = fmt.Errorf("run did not finish within %s", runTimeout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "loadgen:", err)
		return 1
	}
	return 0
}

// runTimeout limits the whole command, even when a daemon does not stop.
const runTimeout = time.Minute

func newCommand() *cobra.Command {
	config := Config{Log: logr.Discard()}
	var format string
	c := &cobra.Command{
		Use: "loadgen", Short: "Drive a cell on loopback under the policy and under a plain baseline", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if format != "both" && format != "json" && format != "table" {
				return fmt.Errorf("invalid format %q: must be both, json or table", format)
			}
			report, err := Run(c.Context(), config)
			if err != nil && !errors.Is(err, ErrViolation) {
				return err
			}
			return errors.Join(writeReport(c.OutOrStdout(), report, format), err)
		},
	}
	f := c.Flags()
	f.StringVar(&config.Deployment, "deployment", "bensalem", "bensalem or sample-exchange")
	f.StringVar(&config.BundleDir, "bundles", "examples", "directory of the example bundles")
	f.DurationVar(&config.Duration, "duration", 15*time.Second, "time during which work arrives, per policy")
	f.Float64Var(&config.Scale, "scale", 1, "factor of all arrival rates")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&format, "format", "both", "both, json or table")
	c.AddCommand(newWaveCommand())
	return c
}

func newWaveCommand() *cobra.Command {
	config := WaveConfig{Log: logr.Discard()}
	c := &cobra.Command{
		Use: "wave", Short: "Cancel queued jobs of one team while another team's requests start", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			report, err := RunWave(c.Context(), config)
			if err != nil {
				return err
			}
			return report.Print(c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&config.Jobs, "jobs", MaxWaveJobs, "queued jobs to cancel")
	f.IntVar(&config.Concurrency, "concurrency", 32, "cancellations under way at a time")
	f.Float64Var(&config.Rate, "rate", 0, "cancellations per second; 0 means as fast as the concurrency allows")
	return c
}

func writeReport(w io.Writer, r Report, format string) error {
	if format != "json" {
		if err := r.Print(w); err != nil {
			return err
		}
	}
	if format == "table" {
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

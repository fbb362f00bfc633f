package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/daemon"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
)

func newServeCommand() *cobra.Command {
	s := &settings.Serve{}
	c := &cobra.Command{
		Use: "serve", Short: "Run a daemon", Args: noArgs,
		Long: "Run a daemon until SIGTERM or SIGINT, then drain it. A second signal ends it at once.",
		RunE: func(c *cobra.Command, _ []string) error { return runServe(c, *s) },
	}
	s.Flags(c.Flags())
	return c
}

func newLogger(c *cobra.Command, level int, asJSON bool) logr.Logger {
	out := c.ErrOrStderr()
	o := funcr.Options{Verbosity: level, LogTimestamp: true}
	if asJSON {
		return funcr.NewJSON(func(text string) { _, _ = fmt.Fprintln(out, text) }, o)
	}
	return funcr.New(func(prefix, text string) { _, _ = fmt.Fprintln(out, prefix, text) }, o)
}

func runServe(c *cobra.Command, s settings.Serve) error {
	if s.PlatformSettingsFile != "" {
		return runOnPlatform(c, s)
	}
	if err := s.Check(); err != nil {
		return err
	}
	log := newLogger(c, s.LogLevel, s.LogJSON)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := d.Start(c.Context()); err != nil {
		return err
	}
	select {
	case err := <-d.Failed():
		d.Kill()
		return fmt.Errorf("daemon failed: %w", err)
	case sig := <-signals:
		log.Info("shutting down", "signal", sig.String())
	case <-c.Context().Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), s.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Stop(ctx) }()
	select {
	case err := <-done:
		return err
	case sig := <-signals:
		// The process exits without waiting for held requests.
		return fmt.Errorf("shutdown aborted by a second signal: %s", sig)
	}
}

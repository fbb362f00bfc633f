package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr/funcr"
	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/asynclog"
	"github.com/rosemaryspoke/rosemaryspoke/internal/cell"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/platform"
)

// runOnPlatform runs a daemon with the settings file that the platform provides, until SIGTERM or SIGINT.
func runOnPlatform(c *cobra.Command, s settings.Serve) error {
	if err := s.CheckOnPlatform(); err != nil {
		return err
	}
	// Signal handlers are registered first: the platform may send SIGHUP for changed settings at any time, which would
	// otherwise end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	boot, err := platform.ReadSettings(s.PlatformSettingsFile)
	if err != nil {
		return err
	}
	boot.Cell.MaxDirectServers, boot.Cell.PastUseHalfLife = s.MaxDirectServers, s.PastUseHalfLife
	boot.Cell.MaxPreemptionLoss, boot.Cell.Admission = s.MaxPreemptionLoss, s.Admission
	boot.Cell.Inbound = cell.Inbound{
		Memory: s.InboundMemory, Connections: s.InboundConnections, BodyTimeout: s.BodyTimeout, MaxHeaderBytes: s.MaxHeaderBytes,
	}
	out := asynclog.New(c.OutOrStdout())
	defer out.Close()
	log := funcr.NewJSON(out.WriteLine, funcr.Options{Verbosity: s.LogLevel, LogTimestamp: true})
	d, err := platform.NewDaemon(boot, log)
	if err != nil {
		return err
	}
	if err := d.Start(c.Context()); err != nil {
		return err
	}
	for {
		select {
		case err := <-d.Failed():
			return fmt.Errorf("daemon failed: %w", err)
		case <-c.Context().Done():
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				_, err := platform.ReadSettings(s.PlatformSettingsFile)
				log.Info("settings file changed; a restart applies it", "valid", err == nil, "error", fmt.Sprint(err))
				continue
			}
			log.Info("shutting down", "signal", sig.String())
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), d.StopTimeout())
		defer cancel()
		return d.Stop(ctx)
	}
}

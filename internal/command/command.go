// Package command implements the command line: the daemon, client commands for jobs and requests, operator commands for
// bundles, keys, hosts and members, the demo and the soak test.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
)

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed
	ExitUsage    = 2 // wrong flags, arguments or settings
	ExitNotRun   = 3 // the work did not run and never will
	ExitFailed   = 4 // the work ran and failed
	ExitUnknown  = 5 // the work may have run, or there was no answer
	ExitConflict = 6 // another operator changed the configuration or the member first
)

// Version is the version of the program, set at build time.
var Version = "development"

// outcomeError makes the command exit with the code of an outcome.
type outcomeError struct {
	outcome api.Outcome
	detail  string
}

// Error implements error.
func (e *outcomeError) Error() string { return fmt.Sprintf("outcome %s: %s", e.outcome, e.detail) }

// usageError marks errors in arguments or input files; they exit with ExitUsage.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRootCommand(out, errOut)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "rosemaryspoke: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var outcome *outcomeError
	var problem *api.Problem
	var setting *settings.Error
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &setting), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &outcome):
		return outcomeExitCode(outcome.outcome)
	case errors.As(err, &problem):
		if problem.Code == api.CodeConflict {
			return ExitConflict
		}
		return outcomeExitCode(problem.Outcome)
	case errors.Is(err, client.ErrNoAnswer):
		return ExitUnknown
	}
	return ExitFailure
}

func outcomeExitCode(o api.Outcome) int {
	switch o {
	case api.Answered:
		return ExitOK
	case api.NotRun:
		return ExitNotRun
	case api.Failed:
		return ExitFailed
	case api.Unknown:
		return ExitUnknown
	}
	return ExitFailure
}

// options holds the values of the persistent flags, which all client commands share.
type options struct {
	address         string
	operatorAddress string
	key             string
	token           string
	output          string
	timeout         time.Duration

	authority string
	http      *http.Client
}

func newRootCommand(out, errOut io.Writer) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use: "rosemaryspoke", Short: "Cluster scheduler for services, batch runs, all-at-once jobs and requests",
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			if err := settings.FromEnvironment(c.Flags()); err != nil {
				return err
			}
			if o.output != "table" && o.output != "json" {
				return &settings.Error{Name: "output", Value: o.output, Allowed: "table or json"}
			}
			authority, err := settings.PEM(o.authority)
			if err == nil {
				o.http, err = client.NewHTTP(authority)
			}
			if err != nil {
				return &settings.Error{Name: "authority", Value: "(hidden)", Allowed: err.Error()}
			}
			return nil
		},
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	f := root.PersistentFlags()
	f.StringVar(&o.address, "address", "http://127.0.0.1:7100", "URL of a daemon's caller port")
	f.StringVar(&o.operatorAddress, "operator-address", "http://127.0.0.1:7101", "URL of a daemon's operator port")
	f.StringVar(&o.authority, "authority", "",
		"certificates that sign the daemons' caller certificates, instead of the system's: PEM text or the path of a file")
	f.StringVar(&o.key, "key", "", "key of the team; better given in the environment")
	f.StringVar(&o.token, "token", "", "credential for the operator port; better given in the environment")
	f.StringVarP(&o.output, "output", "o", "table", "output format: table or json")
	f.DurationVar(&o.timeout, "timeout", time.Minute, "longest time of the command")
	root.AddCommand(newServeCommand(), newJobCommand(o), newRequestCommand(o), newBundleCommand(o),
		newKeyCommand(o), newHostCommand(o), newMemberCommand(o), newStateCommand(o), newExplainPlacementCommand(o),
		newDemoCommand(o), newStandinCommand(), newSoakCommand(), newSettingsCommand(), newVersionCommand())
	requireSubcommand(root)
	return root
}

// requireSubcommand makes an unknown subcommand a usage error. By default cobra prints the help of a command group such as
// "bundle" and exits with 0.
func requireSubcommand(c *cobra.Command) {
	for _, sub := range c.Commands() {
		requireSubcommand(sub)
	}
	if !c.HasSubCommands() {
		return
	}
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{fmt.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
		}
		return nil
	}
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: noArgs,
		Run: func(c *cobra.Command, _ []string) { _, _ = fmt.Fprintln(c.OutOrStdout(), Version) },
	}
}

func newSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "settings", Short: "Print the reference page of all settings", Args: noArgs,
		Run: func(c *cobra.Command, _ []string) { _, _ = fmt.Fprint(c.OutOrStdout(), settings.Reference()) },
	}
}

func noArgs(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("%s takes no arguments, got %q", c.CommandPath(), args)}
	}
	return nil
}

func oneArg(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s takes one argument: %s", c.CommandPath(), name)}
		}
		return nil
	}
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(in)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return text, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{fmt.Errorf("read file: %w", err)}
	}
	return text, nil
}

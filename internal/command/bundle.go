package command

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func newBundleCommand(o *options) *cobra.Command {
	b := &cobra.Command{Use: "bundle", Short: "Check, publish and follow the configuration"}
	b.AddCommand(
		newBundleValidateCommand(o), newBundleDiffCommand(o), newBundlePublishCommand(o),
		newBundleStatusCommand(o), newBundleKeygenCommand(o),
	)
	return b
}

func parseFile(c *cobra.Command, name string) (bundle.Bundle, error) {
	text, err := readFile(name, c.InOrStdin())
	if err != nil {
		return bundle.Bundle{}, err
	}
	b, err := bundle.Parse(name, text)
	if err != nil {
		return b, usageError{fmt.Errorf("invalid bundle:\n%w", err)}
	}
	return b, nil
}

func newBundleValidateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a bundle without a daemon", Args: oneArg("a file, or - for standard input"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := parseFile(c, args[0])
			if err != nil {
				return err
			}
			return o.printResult(c, b, table{
				header: []string{"FILE", "TEAMS", "QUEUES"},
				rows:   [][]string{{args[0], strconv.Itoa(len(b.Teams)), strconv.Itoa(len(b.Queues))}},
			})
		},
	}
}

func changeTable(changes []bundle.Change) table {
	t := table{header: []string{"CHANGE"}}
	for _, change := range changes {
		t.rows = append(t.rows, []string{change.String()})
	}
	return t
}

func newBundleDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "diff OLD NEW", Short: "Print what changes from one bundle to another, without a daemon",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 {
				return usageError{fmt.Errorf("diff takes two files, got %d", len(args))}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			before, err := parseFile(c, args[0])
			if err != nil {
				return err
			}
			after, err := parseFile(c, args[1])
			if err != nil {
				return err
			}
			changes := bundle.Diff(before, after)
			return o.printResult(c, changes, changeTable(changes))
		},
	}
}

func statusTable(members []rollout.MemberStatus) table {
	t := table{header: []string{"DAEMON", "REGION", "STATE", "VERSION", "ANSWERED"}}
	for _, m := range members {
		t.rows = append(t.rows, []string{
			string(m.Member), string(m.Region), string(m.State), fmt.Sprint(m.Version), strconv.FormatBool(m.Answered),
		})
	}
	return t
}

func (o *options) printPublishReply(c *cobra.Command, r operator.PublishReply) error {
	if o.output != "json" {
		_, _ = fmt.Fprintf(c.OutOrStdout(), "version %d: %s\n", r.Receipt.Version, r.Receipt.Outcome)
	}
	return o.printResult(c, r, statusTable(r.Members))
}

func newBundlePublishCommand(o *options) *cobra.Command {
	var signingKeys []string
	var expect uint64
	c := &cobra.Command{
		Use: "publish FILE", Short: "Sign a bundle and put it in force", Args: oneArg("a file, or - for standard input"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := parseFile(c, args[0])
			if err != nil {
				return err
			}
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			version := ident.Version(expect)
			if !c.Flags().Changed("expect") {
				active, err := o.currentBundle(ctx)
				if err != nil {
					return fmt.Errorf("read the active bundle: %w", err)
				}
				version = active.Version
			}
			reply, err := o.publish(ctx, b, version, signingKeys)
			if err != nil {
				return err
			}
			return o.printPublishReply(c, reply)
		},
	}
	c.Flags().StringSliceVar(&signingKeys, "signing-key", nil,
		"operator's Ed25519 seed in base64, or a file that holds it; may be repeated")
	c.Flags().Uint64Var(&expect, "expect", 0, "version that the bundle replaces; without it the version in force")
	return c
}

func newBundleStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the version that each daemon has in force", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			members, err := callOperator[[]rollout.MemberStatus](ctx, o, http.MethodGet, "/v1/bundle/status", nil)
			if err != nil {
				return err
			}
			return o.printResult(c, members, statusTable(members))
		},
	}
}

// keyPair is a new signing key pair of an operator.
type keyPair struct {
	Seed   string `json:"seed"`
	Public string `json:"public"`
	ID     string `json:"id"`
}

func newBundleKeygenCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "keygen", Short: "Create an operator's signing key", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			public, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return fmt.Errorf("create signing key: %w", err)
			}
			p := keyPair{
				Seed:   base64.StdEncoding.EncodeToString(private.Seed()),
				Public: base64.StdEncoding.EncodeToString(public), ID: bundle.SignerID(public),
			}
			return o.printResult(c, p, table{header: []string{"ID", "PUBLIC", "SEED"}, rows: [][]string{{p.ID, p.Public, p.Seed}}})
		},
	}
}

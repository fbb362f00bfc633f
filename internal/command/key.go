package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func newKeyCommand(o *options) *cobra.Command {
	var signingKeys []string
	key := &cobra.Command{Use: "key", Short: "Grant, withdraw and list the teams' keys"}
	key.PersistentFlags().StringSliceVar(&signingKeys, "signing-key", nil,
		"operator's Ed25519 seed in base64, or a file that holds it; may be repeated")
	key.AddCommand(
		newKeyChangeCommand(o, &signingKeys, "grant", "Grant a new key and print its secret once",
			func(b bundle.Bundle, team ident.TeamID, id string) (bundle.Bundle, string, error) {
				return bundle.GrantKey(b, team, id)
			}),
		newKeyChangeCommand(o, &signingKeys, "withdraw", "Withdraw a key, which stops working within seconds",
			func(b bundle.Bundle, team ident.TeamID, id string) (bundle.Bundle, string, error) {
				after, err := bundle.WithdrawKey(b, team, id)
				return after, "", err
			}),
		newKeyListCommand(o),
	)
	return key
}

// keyChangeFunc returns the bundle with a changed key, and the secret of a new key.
type keyChangeFunc func(b bundle.Bundle, team ident.TeamID, id string) (bundle.Bundle, string, error)

func newKeyChangeCommand(o *options, signingKeys *[]string, use, short string, change keyChangeFunc) *cobra.Command {
	return &cobra.Command{
		Use: use + " TEAM KEY", Short: short,
		Args: func(c *cobra.Command, args []string) error {
			if len(args) != 2 {
				return usageError{fmt.Errorf("%s takes a team and a key id", c.CommandPath())}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			return o.changeKey(ctx, c, *signingKeys, ident.TeamID(args[0]), args[1], change)
		},
	}
}

func (o *options) changeKey(
	ctx context.Context, c *cobra.Command, signingKeys []string, team ident.TeamID, id string, change keyChangeFunc,
) error {
	active, err := o.currentBundle(ctx)
	if err != nil {
		return fmt.Errorf("read the active bundle: %w", err)
	}
	after, secret, err := change(active.Bundle, team, id)
	if err != nil {
		return usageError{fmt.Errorf("change key %q of team %q: %w", id, team, err)}
	}
	reply, err := o.publish(ctx, after, active.Version, signingKeys)
	if err != nil {
		return err
	}
	if secret != "" {
		_, _ = fmt.Fprintf(c.OutOrStdout(), "secret: %s\n", secret)
	}
	return o.printPublishReply(c, reply)
}

// keyInfo identifies a team's key without its hash.
type keyInfo struct {
	Team ident.TeamID `json:"team"`
	Key  string       `json:"key"`
}

func newKeyListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the ids of all keys", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			active, err := o.currentBundle(ctx)
			if err != nil {
				return err
			}
			var keys []keyInfo
			t := table{header: []string{"TEAM", "KEY"}}
			for _, team := range active.Bundle.Teams {
				for _, k := range team.Keys {
					keys = append(keys, keyInfo{team.ID, k.ID})
					t.rows = append(t.rows, []string{string(team.ID), k.ID})
				}
			}
			return o.printResult(c, keys, t)
		},
	}
}

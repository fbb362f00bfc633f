package command

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func newStateCommand(o *options) *cobra.Command {
	state := &cobra.Command{Use: "state", Short: "Look into a daemon"}
	state.AddCommand(&cobra.Command{
		Use: "dump", Short: "Print the state of a daemon as JSON", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			dump, err := callOperator[json.RawMessage](ctx, o, http.MethodGet, "/debug/state", nil)
			if err != nil {
				return err
			}
			var indented any
			if err := json.Unmarshal(dump, &indented); err != nil {
				return fmt.Errorf("decode the state dump: %w", err)
			}
			e := json.NewEncoder(c.OutOrStdout())
			e.SetIndent("", "  ")
			return e.Encode(indented)
		},
	})
	return state
}

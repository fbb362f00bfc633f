package command

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func newHostCommand(o *options) *cobra.Command {
	host := &cobra.Command{Use: "host", Short: "List and drain hosts"}
	host.AddCommand(newHostListCommand(o), newHostDrainCommand(o))
	return host
}

func hostTable(hosts []operator.HostReply) table {
	t := table{header: []string{"HOST", "DATA CENTRE", "RACK", "STATE", "OWNER"}}
	for _, h := range hosts {
		t.rows = append(t.rows, []string{string(h.ID), string(h.DataCentre), string(h.Rack), string(h.State), string(h.Owner)})
	}
	return t
}

func newHostListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the platform's hosts with their owners", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			hosts, err := callOperator[[]operator.HostReply](ctx, o, http.MethodGet, "/v1/hosts", nil)
			if err != nil {
				return err
			}
			return o.printResult(c, hosts, hostTable(hosts))
		},
	}
}

func newHostDrainCommand(o *options) *cobra.Command {
	var undo bool
	c := &cobra.Command{
		Use: "drain HOST", Short: "Give a host no new work, on every daemon", Args: oneArg("the host's id"),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			r := operator.DrainHostRequest{Host: ident.HostID(args[0]), Undo: undo}
			drained, err := callOperator[[]ident.HostID](ctx, o, http.MethodPost, "/v1/hosts/drain", r)
			if err != nil {
				return err
			}
			t := table{header: []string{"DRAINED"}}
			for _, h := range drained {
				t.rows = append(t.rows, []string{string(h)})
			}
			return o.printResult(c, drained, t)
		},
	}
	c.Flags().BoolVar(&undo, "undo", false, "let the host take work again")
	return c
}

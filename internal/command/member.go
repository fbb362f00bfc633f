package command

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func newMemberCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "member", Short: "List and remove daemons of the member view"}
	c.AddCommand(newMemberListCommand(o), newMemberRemoveCommand(o))
	return c
}

func newMemberListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the daemons of the view as one daemon knows it", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			members, err := callOperator[[]member.Status](ctx, o, http.MethodGet, "/v1/members", nil)
			if err != nil {
				return err
			}
			t := table{header: []string{"DAEMON", "INCARNATION", "REGION", "DATA CENTRE", "ADDRESS", "STATE", "LEASE"}}
			for _, m := range members {
				t.rows = append(t.rows, []string{
					string(m.ID), fmt.Sprint(m.Incarnation), string(m.Region), string(m.DataCentre), m.Address, string(m.State), string(m.Lease),
				})
			}
			return o.printResult(c, members, t)
		},
	}
}

func newMemberRemoveCommand(o *options) *cobra.Command {
	var r operator.RemoveMemberRequest
	c := &cobra.Command{
		Use: "remove DAEMON", Short: "Remove a daemon that has ended from the view", Args: oneArg("the daemon's id"),
		Long: "Remove a daemon that has ended from the view, for instance one of a region whose daemons have all died.\n" +
			"Make sure that its process has ended: a daemon behind a network partition can't be asked and continues to serve\n" +
			"its region, so that its tasks could run twice.",
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := o.withTimeout(c)
			defer cancel()
			r.Member = ident.MemberID(args[0])
			removed, err := callOperator[member.Member](ctx, o, http.MethodPost, "/v1/members/remove", r)
			if err != nil {
				return err
			}
			return o.printResult(c, removed, table{
				header: []string{"REMOVED", "INCARNATION"}, rows: [][]string{{string(removed.ID), fmt.Sprint(removed.Incarnation)}},
			})
		},
	}
	c.Flags().BoolVar(&r.ConfirmRunning, "confirm-running", false,
		"remove the daemon although it still runs; it drops everything it owns and rejoins")
	return c
}

package daemon_test

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a second run of a non-idempotent request that is resubmitted after its team was removed and added again.
func TestTeamRemovedAndAddedAgain(t *testing.T) {
	team := bundle.Team{ID: "quoting", Share: 1, Limit: 10, ClaimRegion: "sfax"}
	withoutTeam := bundle.Bundle{
		Teams:  []bundle.Team{{ID: "other", Share: 1, Limit: 10, ClaimRegion: "sfax"}},
		Queues: []bundle.Queue{{ID: "quotes", Kind: api.KindRequest, Open: true}},
	}
	withTeam := func(region ident.Region) bundle.Bundle {
		b := withoutTeam
		team.ClaimRegion = region
		b.Teams = []bundle.Team{team, withoutTeam.Teams[0]}
		return b
	}
	sites := []demo.Site{
		{Member: "m1", Region: "sfax", DataCentre: "sfax-a"},
		{Member: "m2", Region: "sfax", DataCentre: "sfax-b"},
		{Member: "m3", Region: "sfax", DataCentre: "sfax-a"},
		{Member: "m4", Region: "tunis", DataCentre: "tunis-a"},
	}
	standins := cell.Config{Groups: []cell.ServerGroup{{
		Region: "sfax", DataCentre: "sfax-a", Prefix: "qa", Count: 2, PerRack: 1,
		Capacity: resource.Vector{CPU: 8000, Memory: 8192, Slots: 8, Connections: 64},
	}}}
	cases := map[string]func(*testing.T, *demo.Cell){
		"added in another claim region": func(t *testing.T, c *demo.Cell) {
			if err := c.Publish(t.Context(), withTeam("tunis")); err == nil {
				return
			} else if !errors.Is(err, bundle.ErrClaimRegionChanged) {
				t.Fatal(err)
			}
			if err := c.Publish(t.Context(), withTeam("sfax")); err != nil {
				t.Fatal(err)
			}
		},
		"added after its claims moved to other members": func(t *testing.T, c *demo.Cell) {
			for _, site := range sites[:3] {
				if err := errors.Join(c.Stop(t.Context(), site.Member), c.Add(t.Context(), site), c.WaitReady(t.Context())); err != nil {
					t.Fatal(err)
				}
			}
			if err := c.Publish(t.Context(), withTeam("sfax")); err != nil {
				t.Fatal(err)
			}
		},
	}
	for name, readd := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := demo.Start(t.Context(), demo.Config{
				Standins: standins, Sites: sites, Bundle: withTeam("sfax"), Log: logr.Discard(),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			request := func() (api.Answer, error) {
				return c.Client("m4", "").Request(t.Context(), api.Spec{
					Team: "quoting", Queue: "quotes", Request: "quote-1", NonIdempotent: true, RunTime: 10,
					Demand: resource.Vector{CPU: 100, Memory: 64}, Payload: []byte("rack"),
					Deadline: api.Millis(10 * time.Second / time.Millisecond),
				})
			}
			first, err := request()
			if err != nil || first.Outcome != api.Answered {
				t.Fatalf("got %+v, %v", first, err)
			}
			if err := c.Publish(t.Context(), withoutTeam); err != nil {
				t.Fatal(err)
			}
			readd(t, c)
			deadline := time.Now().Add(20 * time.Second)
			again, err := request()
			for err != nil && time.Now().Before(deadline) { // until the configuration with the team is in force
				time.Sleep(50 * time.Millisecond)
				again, err = request()
			}
			if err != nil || again.Attempt != first.Attempt {
				t.Errorf("resubmission: got %+v, %v, want the answer of attempt %s", again, err, first.Attempt)
			}
		})
	}
}

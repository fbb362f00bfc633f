package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	sampleInterval = 500 * time.Millisecond
	// fullPart is the part of the slots in use from which the fleet counts as full.
	fullPart = 0.9
	// minWaiting is the number of queued tasks from which a team counts as having work left to start.
	minWaiting = 3
)

// state is the part of a daemon's state dump that is sampled.
type state struct {
	Placement struct {
		Hosts []hostState      `json:"hosts"`
		Teams []wire.TeamUsage `json:"teams"`
	} `json:"placement"`
	Queue struct {
		Teams []struct {
			Team  ident.TeamID `json:"team"`
			Items int          `json:"items"`
		} `json:"teams"`
	} `json:"queue"`
}

// sampler collects packing and shares while a run goes on.
type sampler struct {
	addresses []string // operator ports
	teams     []bundle.Team
	client    *http.Client

	samples, full  int
	packed, hosts  []float64
	slots          []float64
	distance       map[ident.TeamID][]float64
	used, deserved map[ident.TeamID][]float64
}

func newSampler(addresses []string, teams []bundle.Team) *sampler {
	return &sampler{
		addresses: addresses, teams: teams, client: &http.Client{Timeout: 5 * time.Second},
		distance: map[ident.TeamID][]float64{}, used: map[ident.TeamID][]float64{}, deserved: map[ident.TeamID][]float64{},
	}
}

// run samples until the context ends.
func (s *sampler) run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		states, err := s.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		s.add(states)
	}
}

func (s *sampler) read(ctx context.Context) ([]state, error) {
	states := make([]state, len(s.addresses))
	for i, a := range s.addresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/debug/state", nil)
		if err != nil {
			return nil, fmt.Errorf("prepare state request: %w", err)
		}
		r.Header.Set("Authorization", "Bearer "+demo.Token)
		reply, err := s.client.Do(r)
		if err != nil {
			return nil, fmt.Errorf("read state of %s: %w", a, err)
		}
		err = json.NewDecoder(reply.Body).Decode(&states[i])
		_ = reply.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("decode state of %s: %w", a, err)
		}
	}
	return states, nil
}

// add evaluates one sample of all daemons.
func (s *sampler) add(states []state) {
	var hosts []hostState
	var capacity, taken resource.Vector
	usage := map[ident.TeamID]wire.TeamUsage{}
	waiting := map[ident.TeamID]int{}
	for _, st := range states {
		hosts = append(hosts, st.Placement.Hosts...)
		for _, u := range st.Placement.Teams {
			sum := usage[u.Team]
			usage[u.Team] = wire.TeamUsage{Team: u.Team, Running: sum.Running + u.Running, Used: sum.Used.Add(u.Used)}
		}
		for _, q := range st.Queue.Teams {
			waiting[q.Team] += q.Items
		}
	}
	for _, h := range hosts {
		capacity, taken = capacity.Add(h.Capacity), taken.Add(h.Capacity.Sub(h.Free))
	}
	s.samples++
	part, inUse := packing(hosts)
	s.packed, s.hosts = append(s.packed, part), append(s.hosts, float64(inUse))
	slots := float64(taken.Slots) / float64(max(1, capacity.Slots))
	s.slots = append(s.slots, slots)
	if slots < fullPart {
		return
	}
	s.full++
	s.addShares(usage, waiting, capacity)
}

// addShares compares what each team uses with its fair part of what all of them use.
func (s *sampler) addShares(usage map[ident.TeamID]wire.TeamUsage, waiting map[ident.TeamID]int, capacity resource.Vector) {
	total := 0.0
	var claimants []claimant
	for _, t := range s.teams {
		u := usage[t.ID]
		part := u.Used.DominantShare(capacity)
		c := claimant{team: t.ID, share: float64(t.Share), most: part}
		if waiting[t.ID] >= minWaiting && u.Running > 0 {
			c.most = max(part, part/float64(u.Running)*float64(t.Limit))
		} else if waiting[t.ID] >= minWaiting {
			c.most = 1
		}
		total += part
		claimants = append(claimants, c)
	}
	fair := fairParts(total, claimants)
	for _, t := range s.teams {
		part := usage[t.ID].Used.DominantShare(capacity)
		s.used[t.ID] = append(s.used[t.ID], part)
		s.deserved[t.ID] = append(s.deserved[t.ID], fair[t.ID])
		s.distance[t.ID] = append(s.distance[t.ID], max(part-fair[t.ID], fair[t.ID]-part))
	}
}

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
	// fullThreshold is the fraction of slots in use at or above which the fleet counts as full.
	fullThreshold = 0.9
	// minQueuedTasks is the least number of queued tasks with which a team counts as backlogged.
	minQueuedTasks = 3
)

// daemonState holds the fields of a daemon's /debug/state dump that the sampler reads.
type daemonState struct {
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

// sampler periodically records bin packing and team shares during a run.
type sampler struct {
	operatorAddresses []string
	teams             []bundle.Team
	client            *http.Client

	sampleCount, fullSamples int
	packing, hostsInUse      []float64
	slotsUsed                []float64
	distance                 map[ident.TeamID][]float64
	usedShare, fairShare     map[ident.TeamID][]float64
}

func newSampler(addresses []string, teams []bundle.Team) *sampler {
	return &sampler{
		operatorAddresses: addresses, teams: teams, client: &http.Client{Timeout: 5 * time.Second},
		distance: map[ident.TeamID][]float64{}, usedShare: map[ident.TeamID][]float64{}, fairShare: map[ident.TeamID][]float64{},
	}
}

// run takes a sample every sampleInterval until ctx is done.
func (s *sampler) run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		states, err := s.readStates(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		s.addSample(states)
	}
}

func (s *sampler) readStates(ctx context.Context) ([]daemonState, error) {
	states := make([]daemonState, len(s.operatorAddresses))
	for i, a := range s.operatorAddresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/debug/state", nil)
		if err != nil {
			return nil, fmt.Errorf("create state request: %w", err)
		}
		r.Header.Set("Authorization", "Bearer "+demo.OperatorToken)
		response, err := s.client.Do(r)
		if err != nil {
			return nil, fmt.Errorf("read state of %s: %w", a, err)
		}
		err = json.NewDecoder(response.Body).Decode(&states[i])
		_ = response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("decode state of %s: %w", a, err)
		}
	}
	return states, nil
}

// addSample aggregates the states that all daemons reported and records packing and slot use. Shares are recorded only
// while the fleet is full.
func (s *sampler) addSample(states []daemonState) {
	var hosts []hostState
	var capacity, used resource.Vector
	usage := map[ident.TeamID]wire.TeamUsage{}
	queuedTasks := map[ident.TeamID]int{}
	for _, st := range states {
		hosts = append(hosts, st.Placement.Hosts...)
		for _, u := range st.Placement.Teams {
			sum := usage[u.Team]
			usage[u.Team] = wire.TeamUsage{Team: u.Team, Running: sum.Running + u.Running, Used: sum.Used.Add(u.Used)}
		}
		for _, q := range st.Queue.Teams {
			queuedTasks[q.Team] += q.Items
		}
	}
	for _, h := range hosts {
		capacity, used = capacity.Add(h.Capacity), used.Add(h.Capacity.Sub(h.Free))
	}
	s.sampleCount++
	packed, inUse := packing(hosts)
	s.packing, s.hostsInUse = append(s.packing, packed), append(s.hostsInUse, float64(inUse))
	slots := float64(used.Slots) / float64(max(1, capacity.Slots))
	s.slotsUsed = append(s.slotsUsed, slots)
	if slots < fullThreshold {
		return
	}
	s.fullSamples++
	s.addShares(usage, queuedTasks, capacity)
}

// addShares records each team's dominant share and its fair share of the total that all teams use. A backlogged team could
// use its limit, or the whole fleet when none of its tasks run; any other team could use no more than it does.
func (s *sampler) addShares(usage map[ident.TeamID]wire.TeamUsage, queuedTasks map[ident.TeamID]int, capacity resource.Vector) {
	total := 0.0
	var demands []teamDemand
	for _, t := range s.teams {
		u := usage[t.ID]
		used := u.Used.DominantShare(capacity)
		demand := teamDemand{team: t.ID, weight: float64(t.Share), maxShare: used}
		if queuedTasks[t.ID] >= minQueuedTasks && u.Running > 0 {
			demand.maxShare = max(used, used/float64(u.Running)*float64(t.Limit))
		} else if queuedTasks[t.ID] >= minQueuedTasks {
			demand.maxShare = 1
		}
		total += used
		demands = append(demands, demand)
	}
	fair := fairShares(total, demands)
	for _, t := range s.teams {
		used := usage[t.ID].Used.DominantShare(capacity)
		s.usedShare[t.ID] = append(s.usedShare[t.ID], used)
		s.fairShare[t.ID] = append(s.fairShare[t.ID], fair[t.ID])
		s.distance[t.ID] = append(s.distance[t.ID], max(used-fair[t.ID], fair[t.ID]-used))
	}
}

package limit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against store calls that grow with the start rate: at the sizes expected in two years they must stay under a
// fifth of what the store takes (400 writes/s and 2,000 reads/s).
func TestStoreCallsAtPeak(t *testing.T) {
	const (
		teams, members  = 110, 9
		starts          = 3300 // per second
		running         = 39_000
		steps           = 4 // per second
		warmup, measure = 30, 30
	)
	cases := map[string]struct {
		limit int // of each team
		// chooseMember chooses the member for a start.
		chooseMember func(r *rand.Rand, second, team int) int
		// minimum fraction of the starts that must be admitted; 0 where the limits don't allow the whole load
		admitted float64
	}{
		"even load": {600, func(r *rand.Rand, _, _ int) int { return r.IntN(members) }, 0.99},
		"load of each team moves between members": {600, func(r *rand.Rand, second, team int) int {
			return (second/30 + team + r.IntN(2)) % members
		}, 0.9},
		"every team at its limit": {200, func(r *rand.Rand, _, _ int) int { return r.IntN(members) }, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 0, members)
			for i := range teams {
				c.limits[ident.TeamID(fmt.Sprintf("team-%d", i))] = test.limit
			}
			random := rand.New(rand.NewPCG(7, 11))
			type ending struct {
				team   ident.TeamID
				member ident.MemberID
			}
			const total = (warmup + measure) * steps
			ends := make([][]ending, total+1)
			tried, admitted, reads, writes, peerRequests := 0, 0, 0, 0, 0
			for step := range total {
				if step == warmup*steps {
					reads, writes, peerRequests, tried, admitted = c.store.reads, c.store.writes, c.requests, 0, 0
				}
				for _, e := range ends[step] {
					c.allocators[e.member].Release(e.team, 1)
				}
				for range starts / steps {
					n := random.IntN(teams)
					id, at := ident.TeamID(fmt.Sprintf("team-%d", n)), ident.MemberID(fmt.Sprintf("m%d", test.chooseMember(random, step/steps, n)))
					tried++
					if !c.allocators[at].Reserve(id, 1) {
						continue
					}
					admitted++
					duration := 1 + int(random.ExpFloat64()*running/starts*steps)
					if end := step + duration; end < total {
						ends[end] = append(ends[end], ending{id, at})
					}
				}
				c.now = c.now.Add(time.Second / steps)
				for _, m := range c.view.Members {
					c.allocators[m.ID].tick(t.Context())
				}
			}
			reads, writes = c.store.reads-reads, c.store.writes-writes
			share := float64(admitted) / float64(tried)
			t.Logf("%.1f reads/s, %.1f writes/s, %.1f requests/s, %.1f %% of the starts admitted",
				float64(reads)/measure, float64(writes)/measure, float64(c.requests-peerRequests)/measure, 100*share)
			if reads > measure*storeReadsPerSecond/storeDivisor || writes > measure*storeWritesPerSecond/storeDivisor {
				t.Errorf("%d reads and %d writes in %d s", reads, writes, measure)
			}
			if share < test.admitted {
				t.Errorf("%.1f %% of the starts admitted, want %.0f %%", 100*share, 100*test.admitted)
			}
			for id, limit := range c.limits {
				used := 0
				for _, s := range c.allocators {
					_, n := s.Allocation(id)
					used += n
				}
				if used > limit && limit > 0 {
					t.Errorf("team %s runs %d tasks, limit %d", id, used, limit)
				}
			}
		})
	}
}

// Guards against more running tasks than the limit allows after any order of starts, ends, deaths, rejoins, moves of
// backend servers and store faults. The sum counts tasks wherever they run, known to a member or not.
func TestRandomHistories(t *testing.T) {
	const limit = 20
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(t, limit, 4)
			c.store.fault = func(string) fault {
				return []fault{noFault, noFault, noFault, noFault, noFault, noFault, writeRefused, lostReply, delayed}[random.IntN(9)]
			}
			running := map[ident.MemberID]int{}   // by the member that counts them
			unadopted := map[ident.MemberID]int{} // tasks of dead members that aren't adopted yet
			next := 10
			randomMember := func() member.Member { return c.view.Members[random.IntN(len(c.view.Members))] }
			replaceMember := func(m member.Member) {
				c.remove(m.ID)
				unadopted[m.ID], running[m.ID] = running[m.ID], 0
				joiner := member.Member{ID: ident.MemberID(fmt.Sprintf("m%d", next)), Incarnation: 1, State: member.Active}
				next++
				c.view = member.View{Epoch: c.view.Epoch + 1, Members: append(c.view.Members, joiner)}
				c.join(joiner)
			}
			for step := range 400 {
				m := randomMember()
				s := c.allocators[m.ID]
				switch n := 1 + random.IntN(4); random.IntN(13) {
				case 0, 1, 2, 3:
					if s.Reserve(testTeam, n) {
						running[m.ID] += n
					}
				case 4, 5:
					n = min(n, running[m.ID])
					s.Release(testTeam, n)
					running[m.ID] -= n
				case 6, 7:
					c.advance(1)
				case 8:
					c.store.deliver()
				case 9: // a backend server moves between live members
					to := randomMember()
					if n = min(n, running[m.ID]); n > 0 && to.ID != m.ID {
						s.HandOver(testTeam, n, to)
						c.allocators[to.ID].Receive(testTeam, n)
						running[m.ID] -= n
						running[to.ID] += n
					}
				case 10: // a member dies and another one joins
					if random.IntN(4) > 0 {
						continue
					}
					replaceMember(m)
				case 12: // tasks are forwarded with reserved allocation; the sender may die before it knows that they were accepted
					to := randomMember()
					if to.ID == m.ID || !s.Reserve(testTeam, n) {
						continue
					}
					if taken := c.allocators[to.ID].Accept(testTeam, n); taken {
						running[to.ID] += n
					}
					if random.IntN(6) == 0 {
						replaceMember(m)
						continue
					}
					s.Transfer(testTeam, n, to)
				case 11: // backend servers of dead members are adopted step by step, or their tasks end
					for _, id := range slices.Sorted(maps.Keys(unadopted)) {
						if n = min(n, unadopted[id]); n > 0 {
							unadopted[id] -= n
							if random.IntN(3) > 0 {
								s.Adopt(testTeam, n)
								running[m.ID] += n
							}
							break
						}
						n = 1 + random.IntN(4)
					}
				}
				for id, left := range unadopted {
					// As in the daemon: no task is left to adopt, and no member counts tasks against a dead member's
					// allocation.
					c.tasksEnded[id] = c.tasksEnded[id] || left == 0 && sumTasks(unadopted) == 0 && c.pendingAdoptions() == 0
				}
				if total := sumTasks(running) + sumTasks(unadopted); total > limit {
					t.Fatalf("step %d: %d tasks run, limit %d; record %+v", step, total, limit, c.record())
				}
				c.record()
			}
		})
	}
}

func sumTasks(counts map[ident.MemberID]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

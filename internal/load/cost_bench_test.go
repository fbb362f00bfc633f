package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/fleet"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func encodedSize(b *testing.B, message any) float64 {
	data, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// storedBytes returns the total length of the keys and values under a prefix of the cell's store.
func storedBytes(b *testing.B, c *demo.Cell, prefix string) float64 {
	items, err := c.Standins.KV.Store().List(b.Context(), prefix)
	if err != nil {
		b.Fatal(err)
	}
	sum := 0.0
	for _, i := range items {
		sum += float64(len(i.Key) + len(i.Value))
	}
	return sum
}

func benchBundle(teams int) bundle.Bundle {
	b := bundle.Bundle{Queues: []bundle.Queue{{ID: "requests", Kind: api.KindRequest, Deadline: 5000}}}
	for i := range teams {
		first, second := fmt.Sprintf("one-%d", i), fmt.Sprintf("two-%d", i)
		b.Teams = append(b.Teams, bundle.Team{
			ID: teamID(i), Share: 1, Limit: 400, ClaimRegion: "sfax",
			Keys: []bundle.Key{{ID: "one", Hash: bundle.HashSecret(first)}, {ID: "two", Hash: bundle.HashSecret(second)}},
		})
	}
	return b
}

// BenchmarkMessages reports the encoded sizes of protocol messages, and of the configuration and the member record as a
// cell of six daemons stores them.
func BenchmarkMessages(b *testing.B) {
	d := Deployments()["bensalem"]
	configuration := benchBundle(twoYearTeams)
	c, err := demo.Start(b.Context(), demo.Config{
		Standins: cell.Config{Groups: d.groups, Seed: 1}, Sites: d.sites, Bundle: configuration, Log: logr.Discard(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	for b.Loop() {
		before := storedBytes(b, c, "config")
		configuration.Teams[0].Limit++
		if err := c.Publish(b.Context(), configuration); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(before, "config-B")
		b.ReportMetric(storedBytes(b, c, "config")-before, "config-change-B")
	}
	b.ReportMetric(storedBytes(b, c, "members"), "member-record-B")
	demand := resource.Vector{CPU: 2000, Memory: 4096, Slots: 1, Connections: 1}
	sender := wire.Sender{Member: "entry-1", Incarnation: 3, Epoch: 1234}
	var usage []wire.TeamUsage
	for i := range twoYearTeams {
		usage = append(usage, wire.TeamUsage{Team: teamID(i), Running: 59, Used: demand.Times(59)})
	}
	total := resourceVector(16, 32, 0).Times(1050)
	dataCentre := wire.DataCentreCapacity{
		DataCentre: "sfax-a", Region: "sfax", Free: total, LargestFree: resourceVector(64, 128, 8), Capacity: total,
		LargestHost: resourceVector(64, 128, 8),
	}
	summary := wire.Summary{
		Sender: sender, Full: true, Teams: usage, DataCentres: []wire.DataCentreCapacity{dataCentre, dataCentre}, Backlog: 1200,
		Version: 27000,
	}
	b.ReportMetric(encodedSize(b, summary), "summary-full-B")
	summary.Full, summary.Teams = false, nil
	b.ReportMetric(encodedSize(b, summary), "summary-rooms-B")
	bytesWithoutTeams := encodedSize(b, summary)
	summary.Teams = usage[:3]
	b.ReportMetric((encodedSize(b, summary)-bytesWithoutTeams)/3, "summary-team-B")
	task := backend.Task{
		Attempt: "job-26ea5e66d233db00ad51535c.5-b89041ed5b18bc811529eb37", Job: "job-26ea5e66d233db00ad51535c", Index: 5,
		Team: teamID(7), Queue: "requests", Request: "request-123456", Origin: "entry-1", Demand: demand, RunTime: 5000,
	}
	fence := backend.Fence{Epoch: 1234, Owner: "entry-1", AttachNumber: 98765}
	b.ReportMetric(encodedSize(b, backend.StartRequest{Fence: fence, Task: task}), "start-B")
	b.ReportMetric(encodedSize(b, wire.ForwardRequest{Sender: sender, Task: task, Kind: "request", Hops: 1}), "forward-B")
	b.ReportMetric(encodedSize(b, wire.ResultPush{Sender: sender, Host: "host-00001", Result: backend.Result{
		Attempt: task.Attempt, Job: task.Job, Index: 5, Team: task.Team, Queue: task.Queue, Request: task.Request, Origin: "entry-1",
		Exit: backend.ExitSucceeded, Ran: 5000,
	}}), "answer-B")
	b.ReportMetric(encodedSize(b, backend.Usage{Attempt: task.Attempt, Used: demand})+1, "usage-report-B")
	b.ReportMetric(encodedSize(b, backend.PollRequest{Fence: fence, Lease: 288_000, Wait: 96_000, After: 12345}), "poll-B")
	b.ReportMetric(encodedSize(b,
		backend.PollReply{Boot: "boot-1234567890", Capacity: resourceVector(64, 128, 8), Cursor: 12345}), "poll-reply-B")
}

// BenchmarkSummaries reports the bytes per second of one daemon's summaries and their replies at peak load, including the
// JSON-RPC envelope, and the relative error of the usage that its peers know. Tasks of every team start and end at
// random, with a mean run time that keeps 39,000 of them running at 3,300 starts/s.
func BenchmarkSummaries(b *testing.B) {
	const running, seconds = 39_000, 600
	demand := resource.Vector{CPU: 2000, Memory: 4096, Slots: 1, Connections: 1}
	for _, c := range []struct{ near, far int }{{3, 2}, {1, 4}, {5, 3}, {2, 6}} {
		daemons := c.near + c.far + 1
		b.Run(fmt.Sprintf("daemons=%d/region=%d", daemons, c.near+1), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			view := member.View{Epoch: 1234}
			for i := range daemons {
				m := member.Member{ID: ident.MemberID(fmt.Sprintf("entry-%d", i)), Incarnation: 3, Region: "sfax", State: member.Active}
				if i > c.near {
					m.Region = "tunis"
				}
				view.Members = append(view.Members, m)
			}
			mean := float64(running) / twoYearTeams / float64(daemons)
			tasks := make([]int, twoYearTeams)
			usage := func() []wire.TeamUsage {
				var list []wire.TeamUsage
				for i, n := range tasks {
					list = append(list, wire.TeamUsage{Team: teamID(i), Running: n, Used: demand.Times(int64(n))})
				}
				return list
			}
			var mu sync.Mutex
			sentBytes, now := 0.0, time.Unix(0, 0)
			knownUsage := map[ident.MemberID]map[ident.TeamID]int{}
			for _, m := range view.Members {
				knownUsage[m.ID] = map[ident.TeamID]int{}
			}
			publisher, err := fleet.New(fleet.Config{
				Self: func() member.Member { return view.Members[0] }, View: func() member.View { return view },
				OwnUsage: usage, Backlog: func() int { return 1200 }, ConfigVersion: func() ident.Version { return 27000 },
				OwnCapacity: func() []wire.DataCentreCapacity {
					v := resourceVector(16, 32, 0).Times(int64(900 + random.IntN(100)))
					r := wire.DataCentreCapacity{
						DataCentre: "sfax-a", Region: "sfax", Free: v, LargestFree: resourceVector(64, 128, 8),
						Capacity: v, LargestHost: resourceVector(64, 128, 8),
					}
					return []wire.DataCentreCapacity{r, r}
				},
				PushSummary: func(_ context.Context, to ident.MemberID, s wire.Summary) (wire.SummaryReply, error) {
					reply := wire.SummaryReply{Version: 27000}
					request := &jsonrpc2.Request{Method: wire.MethodSummary, ID: jsonrpc2.ID{Num: 123_456}}
					response := &jsonrpc2.Response{ID: request.ID}
					mu.Lock()
					defer mu.Unlock()
					if err := errors.Join(request.SetParams(s), response.SetResult(reply)); err != nil {
						b.Error(err)
					}
					sentBytes += encodedSize(b, request) + encodedSize(b, response)
					for _, u := range s.Teams {
						knownUsage[to][u.Team] = u.Running
					}
					return reply, nil
				},
				Now: func() time.Time { return now }, Log: logr.Discard(),
			})
			if err != nil {
				b.Fatal(err)
			}
			nearError, farError := 0.0, 0.0
			for b.Loop() {
				sentBytes, nearError, farError = 0, 0, 0
				for range seconds {
					now = now.Add(time.Second)
					for i := range tasks {
						remaining := 0
						for range tasks[i] {
							if random.ExpFloat64() > twoYearStarts/float64(running) {
								remaining++
							}
						}
						for at := random.ExpFloat64(); at < mean*twoYearStarts/running; at += random.ExpFloat64() {
							remaining++
						}
						tasks[i] = remaining
					}
					publisher.PushSummaries(b.Context())
					for i, n := range tasks {
						nearError += math.Abs(float64(knownUsage[view.Members[1].ID][teamID(i)] - n))
						farError += math.Abs(float64(knownUsage[view.Members[daemons-1].ID][teamID(i)] - n))
					}
				}
			}
			b.ReportMetric(sentBytes/seconds, "B/s")
			b.ReportMetric(nearError/seconds/twoYearTeams/mean, "near-error")
			b.ReportMetric(farError/seconds/twoYearTeams/mean, "far-error")
		})
	}
}

// BenchmarkIdle reports the control overhead of an idle cell of six daemons with the daemon's default intervals. The
// differences between its cases give the overhead per backend server and per team.
func BenchmarkIdle(b *testing.B) {
	const warmUp, measured = 4 * time.Second, 8 * time.Second
	for _, c := range []struct{ scale, teams int }{{1, 6}, {6, 6}, {1, twoYearTeams}} {
		d := Deployments()["bensalem"]
		servers := 0
		for i := range d.groups {
			d.groups[i].Count *= c.scale
			servers += d.groups[i].Count
		}
		b.Run(fmt.Sprintf("servers=%d/teams=%d", servers, c.teams), func(b *testing.B) {
			demoCell, err := demo.Start(b.Context(), demo.Config{
				Standins: cell.Config{Groups: d.groups, Seed: 1}, Sites: d.sites, Bundle: benchBundle(c.teams), Log: logr.Discard(),
				AdjustSettings: func(s *settings.Serve) { useDefaultTimings(s, false) },
			})
			if err != nil {
				b.Fatal(err)
			}
			defer demoCell.Close()
			time.Sleep(warmUp)
			for b.Loop() {
				m, err := newCostMeter(b.Context(), demoCell, d)
				if err != nil {
					b.Fatal(err)
				}
				time.Sleep(measured)
				cost, err := m.cost(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				calls := 0.0
				for _, v := range cost.StoreCalls {
					calls += v
				}
				b.ReportMetric(calls, "store-calls/s")
				b.ReportMetric(cost.StoreBytes, "store-B/s")
				b.ReportMetric(cost.PeerControlBytes, "peer-B/s")
				b.ReportMetric(cost.Polls, "polls/s")
				b.ReportMetric(cost.PollBodyBytes, "poll-body-B/s")
				b.ReportMetric(1000*cost.CPUCores, "millicores")
				b.ReportMetric(heapBytes()/float64(len(d.sites)), "heap-B")
				if c.teams == twoYearTeams {
					reportChanges(b, demoCell, d, cost)
				}
			}
		})
	}
}

// reportChanges publishes changes of one team's limit and reports the overhead of each per daemon, above that of the idle
// cell.
func reportChanges(b *testing.B, c *demo.Cell, d Deployment, idle Cost) {
	const changes = 16
	b.Helper()
	m, err := newCostMeter(b.Context(), c, d)
	if err != nil {
		b.Fatal(err)
	}
	configuration := benchBundle(twoYearTeams)
	for range changes {
		configuration.Teams[0].Limit++
		if err := c.Publish(b.Context(), configuration); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Second / 2)
	}
	cost, err := m.cost(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	secondsPerChange := cost.MeasuredSeconds / changes
	b.ReportMetric((cost.PeerControlBytes-idle.PeerControlBytes)*secondsPerChange, "peer-B/change")
	b.ReportMetric((cost.StoreBytes-idle.StoreBytes)*secondsPerChange, "store-B/change")
	b.ReportMetric(1000*(cost.CPUCores-idle.CPUCores)*secondsPerChange, "core-ms/change")
	calls := 0.0
	for k, v := range cost.StoreCalls {
		calls += v - idle.StoreCalls[k]
	}
	b.ReportMetric(calls*secondsPerChange, "store-calls/change")
}

// BenchmarkHostList reports the size and decoding time of the host list, and the body bytes received when it is read
// unchanged and with one changed host. The CPU time of the change includes that of the stand-in.
func BenchmarkHostList(b *testing.B) {
	for _, servers := range []int{48, 800, twoYearServers} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var hosts []platform.Host
			for i := range servers {
				hosts = append(hosts, platform.Host{
					ID: ident.HostID(fmt.Sprintf("quote-sfax-a-%04d", i)), Address: fmt.Sprintf("10.20.%d.%d:7200", i/250, i%250),
					Region: "sfax", DataCentre: "sfax-a", Rack: ident.Rack(fmt.Sprintf("sfax-a-rack-%d", i/5)), State: platform.HostLive,
				})
			}
			encodedHosts, err := json.Marshal(hosts)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var list []platform.Host
				if err := json.Unmarshal(encodedHosts, &list); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encodedHosts)), "list-B")
			server, set := kv.New(kv.Config{}), metrics.NewSet()
			httpServer := httptest.NewServer(server.Handler())
			defer httpServer.Close()
			hostList, err := platform.NewHTTPHostList(platform.HTTPConfig{BaseURL: httpServer.URL, Metrics: set})
			if err != nil {
				b.Fatal(err)
			}
			readBytes := func() float64 {
				received := set.GetOrCreateCounter(`rosemaryspoke_platform_bytes_total{direction="received"}`)
				before := received.Get()
				if _, err := hostList.Hosts(b.Context()); err != nil {
					b.Fatal(err)
				}
				return float64(received.Get() - before)
			}
			server.SetHosts(hosts)
			readBytes()
			b.ReportMetric(readBytes(), "unchanged-B")
			hosts[0].State = platform.HostLeaving
			server.SetHosts(hosts)
			cpuBefore := cpuTime()
			b.ReportMetric(readBytes(), "change-B")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/1000, "change-ms")
		})
	}
}

// BenchmarkClaims reports the heap that a completed claim with an answer of 1 KB takes at one member.
func BenchmarkClaims(b *testing.B) {
	const claims, answerBytes = 20_000, 1024
	self := member.Member{ID: "entry-1", Incarnation: 1, Region: "sfax", DataCentre: "sfax-a", State: member.Active}
	view := member.View{Epoch: 1, Members: []member.Member{self}}
	for b.Loop() {
		table, err := claim.New(claim.Config{
			Self: func() member.Member { return self }, View: func() member.View { return view },
			ClaimRegion: func(ident.TeamID) (ident.Region, bool) { return "sfax", true },
			Call: func(context.Context, ident.MemberID, string, wire.ClaimRequest) (wire.ClaimReply, error) {
				return wire.ClaimReply{}, nil
			},
			Transfer: func(context.Context, ident.MemberID, wire.ClaimTransferRequest) (wire.ClaimTransferReply, error) {
				return wire.ClaimTransferReply{}, nil
			},
			SearchInventories: func(context.Context, wire.ClaimKey) (bool, bool) { return false, true },
			Retention:         10 * time.Minute, Now: time.Now, Log: logr.Discard(),
		})
		if err != nil {
			b.Fatal(err)
		}
		table.ViewChanged()
		before := heapBytes()
		for i := range claims {
			key := wire.ClaimKey{Team: teamID(i % twoYearTeams), Request: ident.RequestID(fmt.Sprintf("request-%08d", i))}
			g, err := table.Acquire(b.Context(), key)
			if err != nil {
				b.Fatal(err)
			}
			if err := table.Complete(b.Context(), g, make([]byte, answerBytes)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((heapBytes()-before)/claims, "B/claim")
		runtime.KeepAlive(table)
	}
}

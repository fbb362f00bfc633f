package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/caller"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/fleet"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/limit"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/request"
	"github.com/rosemaryspoke/rosemaryspoke/internal/retry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func buildPlatform(d *Daemon) error {
	c := platform.HTTPConfig{BaseURL: d.settings.StoreURL, Region: d.settings.Region, Metrics: d.metrics}
	store, err := platform.NewHTTPStore(c)
	if err != nil {
		return fmt.Errorf("create store client: %w", err)
	}
	hosts, err := platform.NewHTTPHostList(c)
	if err != nil {
		return fmt.Errorf("create host list client: %w", err)
	}
	d.store, d.hosts = store, hosts
	return nil
}

func buildPeer(d *Daemon) error {
	var err error
	if d.settings.PeerCertificate != "" {
		d.peerCerts, err = peer.NewCertificates(peer.CertificateSource{
			Certificate: d.settings.PeerCertificate, Key: d.settings.PeerKey, Authorities: d.settings.PeerAuthority,
		})
		if err != nil {
			return fmt.Errorf("load peer certificates: %w", err)
		}
	}
	if d.settings.CallerCertificate != "" {
		d.httpCerts, err = peer.NewCertificates(peer.CertificateSource{Certificate: d.settings.CallerCertificate, Key: d.settings.CallerKey})
		if err != nil {
			return fmt.Errorf("load caller certificate: %w", err)
		}
	}
	d.node, err = peer.New(peer.Config{
		Self: d.sender,
		Address: func(id ident.MemberID) (string, bool) {
			m, ok := d.members.View().Find(id)
			return m.Address, ok
		},
		Receive: inbound.NewPool(peerReceiveBytes), Dial: d.peerDial, TLS: d.peerCerts, Log: d.log.WithName("peer"), Metrics: d.metrics,
	})
	if err != nil {
		return fmt.Errorf("create peer node: %w", err)
	}
	return nil
}

// enableTLS wraps the operator listener in TLS, and the caller listener too unless a load balancer terminates TLS.
func (d *Daemon) enableTLS() {
	if d.httpCerts == nil {
		return
	}
	d.operatorListener = tls.NewListener(d.operatorListener, d.httpCerts.HTTPSConfig())
	if !d.settings.CallerTLSAtBalancer {
		d.callerListener = tls.NewListener(d.callerListener, d.httpCerts.HTTPSConfig())
	}
}

func (d *Daemon) sender() wire.Sender {
	m := d.members.Self()
	return wire.Sender{Member: m.ID, Incarnation: m.Incarnation, Epoch: d.members.View().Epoch}
}

func buildMembers(d *Daemon) error {
	s := d.settings
	var err error
	d.members, err = member.New(member.Config{
		Store:    d.store,
		Self:     member.Member{ID: s.Member, Address: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region},
		LeaseTTL: s.LeaseTTL, Interval: s.MemberInterval, ProbeTimeout: s.ProbeTimeout,
		Probe: d.probe,
		ProbeVia: func(ctx context.Context, via, target member.Member) error {
			r := wire.ProbeRequest{Sender: d.sender(), Target: target.ID, TargetIncarnation: target.Incarnation}
			_, err := peer.CallAddress[wire.ProbeRequest, wire.ProbeReply](ctx, d.node, via.Address, wire.MethodProbe, r)
			return err
		},
		Log: d.log.WithName("member"),
	})
	if err != nil {
		return fmt.Errorf("create member group: %w", err)
	}
	return nil
}

func buildConfiguration(d *Daemon) error {
	keys, err := d.settings.SignerKeys()
	if err != nil {
		return err
	}
	d.rollout, err = rollout.New(rollout.Config{
		Store: d.store, StoreRegion: d.settings.StoreRegion, Self: d.members.Self, View: d.members.View,
		Signers: keys, RequiredSigners: d.settings.RequiredSigners,
		Freshness: d.settings.Freshness, ReadInterval: d.settings.ReadInterval,
		Pull:    call[wire.ConfigPullRequest, wire.ConfigPullReply](d, wire.MethodConfigPull),
		Version: call[wire.ConfigVersionRequest, wire.ConfigVersionReply](d, wire.MethodConfigVersion),
		Now:     time.Now, Log: d.log.WithName("rollout"),
	})
	if err != nil {
		return fmt.Errorf("create rollout: %w", err)
	}
	return nil
}

func buildLimits(d *Daemon) error {
	var err error
	d.limits, err = limit.New(limit.Config{
		Store: d.store, Self: d.members.Self, View: d.members.View,
		Limit: func(t ident.TeamID) (int, bool) {
			team, ok := d.rollout.Current().Team(t)
			return team.Limit, ok
		},
		Teams: func() []ident.TeamID {
			var ids []ident.TeamID
			for _, t := range d.rollout.Current().Teams() {
				ids = append(ids, t.ID)
			}
			return ids
		},
		Request:    call[wire.LimitRequest, wire.LimitReply](d, wire.MethodLimitRequest),
		TasksEnded: d.adoptions.tasksEnded,
		OnIncrease: func(ident.TeamID) { d.dispatcher.Wake() },
		Interval:   d.settings.LimitInterval, Now: time.Now, Log: d.log.WithName("limit"),
	})
	if err != nil {
		return fmt.Errorf("create limit allocator: %w", err)
	}
	return nil
}

func buildOwnership(d *Daemon) error {
	var err error
	d.pool, err = placement.New(placement.Config{
		BlockReason: d.blame.BlockReason,
		KindOf: func(q ident.QueueID) api.Kind {
			found, _ := d.rollout.Current().Queue(q)
			return found.Kind
		},
		Baseline: d.settings.Baseline, Seed: rand.Uint64(), Now: time.Now,
	})
	if err != nil {
		return fmt.Errorf("create placement pool: %w", err)
	}
	s := d.settings
	d.table, err = ownership.New(ownership.Config{
		Self: d.members.Self, View: d.members.View, Refresh: d.members.Refresh, StoreHealthy: d.members.StoreHealthy,
		Isolated: d.members.Isolated, Hosts: d.listHosts,
		Dial: func(h platform.Host) backend.Server {
			return backend.NewHTTPAdapter(backend.HTTPConfig{Client: d.client, Address: h.Address, RecordBytes: d.countBackendExchange})
		},
		Events: ownership.Events{
			Attached: func(h platform.Host, i backend.Inventory) { d.ownership.recordHost(h); d.dispatcher.Attached(h, i) },
			Updated: func(h ident.HostID, r backend.PollReply) {
				d.pool.UpdateHost(h, r.Capacity, r.Leaving)
				d.pool.RecordUsage(h, r.Usage)
			},
			Finished: func(h ident.HostID, r backend.Result) { d.dispatcher.Finished(h, r) },
			Detached: func(h ident.HostID, r ownership.DetachReason) { d.dispatcher.Detached(h, r) },
		},
		Probe: func(ctx context.Context, id ident.MemberID) error {
			_, err := peer.Call[wire.ProbeRequest, wire.ProbeReply](ctx, d.node, id, wire.MethodProbe,
				wire.ProbeRequest{Sender: d.sender()})
			return err
		},
		MinRenewal: s.MinRenewal, MaxRenewal: s.MaxRenewal, ClockDrift: s.ClockDrift, HostsInterval: s.HostsInterval,
		ControlBytesPerSecond: s.ControlBytesPerSecond, Now: time.Now, Jitter: rand.Float64, Log: d.log.WithName("ownership"),
	})
	if err != nil {
		return fmt.Errorf("create ownership table: %w", err)
	}
	return nil
}

// countBackendExchange adds one exchange with a backend server, and its body bytes, to the metrics of the call.
func (d *Daemon) countBackendExchange(path string, sent, received int) {
	d.metrics.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_backend_exchanges_total{call=%q}`, path)).Inc()
	d.metrics.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_backend_body_bytes_total{call=%q,direction="sent"}`, path)).Add(sent)
	d.metrics.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_backend_body_bytes_total{call=%q,direction="received"}`, path)).Add(received)
}

func buildDispatcher(d *Daemon) error {
	var err error
	d.fleet, err = fleet.New(fleet.Config{
		Self: d.members.Self, View: d.members.View, OwnUsage: d.pool.TeamUsage, OwnCapacity: d.pool.CapacityByDataCentre,
		Backlog:         func() int { return d.dispatcher.Backlog() },
		ConfigVersion:   func() ident.Version { return d.rollout.Current().Version() },
		PushSummary:     call[wire.Summary, wire.SummaryReply](d, wire.MethodSummary),
		CapacityChanged: func() { d.dispatcher.Wake() }, Log: d.log.WithName("fleet"),
	})
	if err != nil {
		return fmt.Errorf("create fleet: %w", err)
	}
	budget, err := retry.NewBudget(retry.BudgetConfig{Ratio: d.settings.RetryRatio})
	if err != nil {
		return fmt.Errorf("create retry budget: %w", err)
	}
	backoff, err := retry.NewBackoff(retry.BackoffConfig{Seed: rand.Uint64()})
	if err != nil {
		return fmt.Errorf("create retry backoff: %w", err)
	}
	d.dispatcher, err = dispatch.New(dispatch.Config{
		Self: d.members.Self, View: d.members.View, Pool: d.pool, Fleet: d.fleet, Blame: d.blame,
		Budget: budget, Backoff: backoff,
		Limits: dispatch.Limits{
			Reserve: d.limits.Reserve, Cancel: d.limits.Cancel, Release: d.limits.Release,
			Accept: d.limits.Accept, Transfer: d.limits.Transfer, AddRunning: d.addRunning, RemoveRunning: d.removeRunning,
		},
		Servers: dispatch.Servers{
			Start: d.table.Start, Stop: d.table.Stop, Checkpoint: d.table.Checkpoint, Throttle: d.table.Throttle,
			Acknowledge: d.table.Acknowledge, InventoryComplete: d.table.InventoryComplete,
		},
		Peers:         d.dispatchPeers(),
		QueueLimit:    d.queueLimit,
		QueueBytes:    int64(d.settings.QueueBytes),
		Weight:        func(t ident.TeamID) float64 { return max(1, float64(d.rollout.Current().Share(t))) },
		DominantShare: d.dominantShare,
		FleetCapacity: d.totalCapacity,
		Baseline:      d.settings.Baseline,
		Now:           time.Now, Log: d.log.WithName("dispatch"), Metrics: d.metrics,
	})
	if err != nil {
		return fmt.Errorf("create dispatcher: %w", err)
	}
	return nil
}

func (d *Daemon) queueLimit(t ident.TeamID) int {
	if team, ok := d.rollout.Current().Team(t); ok && team.QueueLimit > 0 {
		return team.QueueLimit
	}
	return d.settings.QueueLimit
}

// dominantShare returns the team's dominant share of the fleet's capacity. The load of this daemon's backend servers is
// at most maxLoadAge old.
func (d *Daemon) dominantShare(t ident.TeamID) float64 {
	own := d.ownership.localLoad(d.pool)
	return d.fleet.DominantShare(t, own.teams[t], own.capacity)
}

func (d *Daemon) totalCapacity() resource.Vector {
	return d.fleet.PeerCapacity().Add(d.ownership.localLoad(d.pool).capacity)
}

func buildClaims(d *Daemon) error {
	var err error
	d.claims, err = claim.New(claim.Config{
		Self: d.members.Self, View: d.members.View,
		ClaimRegion: func(t ident.TeamID) (ident.Region, bool) {
			return d.rollout.Current().ClaimRegion(t)
		},
		Call: func(ctx context.Context, to ident.MemberID, method string, r wire.ClaimRequest) (wire.ClaimReply, error) {
			return peer.Call[wire.ClaimRequest, wire.ClaimReply](ctx, d.node, to, method, r)
		},
		Transfer: call[wire.ClaimTransferRequest, wire.ClaimTransferReply](d, wire.MethodClaimTransfer),
		SearchInventories: func(ctx context.Context, k wire.ClaimKey) (bool, bool) {
			// Backend servers forget a run once its result is acknowledged, so not finding it doesn't prove that it
			// never ran.
			_, known, _ := d.dispatcher.Find(ctx, k)
			return known, false
		},
		Retention: d.settings.ClaimRetention, Now: time.Now, Log: d.log.WithName("claim"),
	})
	if err != nil {
		return fmt.Errorf("create claim table: %w", err)
	}
	return nil
}

func buildJobs(d *Daemon) error {
	var err error
	d.jobs, err = job.New(job.Config{
		Store: d.store, Self: d.members.Self, View: d.members.View,
		Dispatcher: job.Dispatcher{
			Submit: d.dispatcher.Submit, SubmitGang: d.dispatcher.SubmitGang, Resume: d.dispatcher.Resume,
			Cancel: d.dispatcher.Cancel, AdoptOrigin: d.dispatcher.AdoptOrigin, CouldFit: d.dispatcher.CouldFit,
			Forget: d.dispatcher.Forget, Admit: d.dispatcher.Admit, AddPending: d.dispatcher.AddPending,
		},
		FlushInterval: d.settings.FlushInterval, Retention: d.settings.JobRetention, StoreWriteRate: d.settings.StoreWritesPerSecond,
		OtherWriteCount: func() uint64 { return d.limits.Calls().Writes },
		Now:             time.Now, Log: d.log.WithName("job"),
	})
	if err != nil {
		return fmt.Errorf("create job table: %w", err)
	}
	return nil
}

func buildRequests(d *Daemon) error {
	var err error
	d.requests, err = request.New(request.Config{
		View: d.members.View,
		Claims: request.Claims{
			Acquire: d.claims.Acquire, Validate: d.claims.Validate, Complete: d.claims.Complete,
			Release: d.claims.Release, Lookup: d.lookupClaim,
		},
		Dispatcher: request.Dispatcher{Submit: d.dispatcher.Submit, Abandon: d.dispatcher.Abandon, Find: d.dispatcher.Find},
		Jobs:       request.Jobs{Create: d.jobs.Create, Get: d.getJob},
		Now:        time.Now, Log: d.log.WithName("request"),
	})
	if err != nil {
		return fmt.Errorf("create request service: %w", err)
	}
	return nil
}

func buildCallers(d *Daemon) error {
	var err error
	d.callers, err = caller.New(caller.Config{
		Bundle: func() *bundle.Compiled {
			if c := d.rollout.Current(); c.Version() > 0 {
				return c
			}
			return nil
		},
		BundleFresh: d.rollout.Fresh,
		RunRequest:  d.requests.Do,
		Jobs: caller.Jobs{
			Create: d.requests.CreateJob, Get: d.getJob, List: d.listJobs, Cancel: d.cancelJob, Explain: d.explainJob,
		},
		Log: d.log.WithName("caller"), Metrics: d.metrics,
	})
	if err != nil {
		return fmt.Errorf("create caller server: %w", err)
	}
	return nil
}

// registerChangeHandlers subscribes the components to changes of the member view and of the configuration.
func registerChangeHandlers(d *Daemon) {
	d.members.OnChange(func(v member.View) {
		d.ownership.setView(v)
		d.table.ViewChanged()
		d.fleet.ViewChanged(v)
		d.claims.ViewChanged()
		d.dispatcher.RecheckPeerAttempts()
		d.jobs.ViewChanged()
		d.dispatcher.Wake()
	})
	d.members.OnRemoved(func() {
		d.log.Info("this incarnation was removed from the member view; dropping all owned backend servers, limits and jobs")
		d.table.Drop()
		d.limits.Reset()
		d.jobs.DropAll()
	})
	d.rollout.OnChange(func(*bundle.Compiled) { d.dispatcher.Wake() })
}

func buildOperators(d *Daemon) error {
	var err error
	d.operators, err = operator.New(operator.Config{
		Token: d.settings.OperatorToken, Ready: d.Ready, Dump: d.dump, Metrics: d.metrics, Rollout: d.rollout,
		Hosts: d.listHosts, DrainHost: d.drainHost, Owner: d.ownerOf, ReloadCertificates: d.reloadCertificates,
		Members: d.members.List, RemoveMember: d.members.Remove, Log: d.log.WithName("operator"),
	})
	if err != nil {
		return fmt.Errorf("create operator server: %w", err)
	}
	return nil
}

// Package settings holds every setting of the daemon as a flag and an environment variable, with its check.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// EnvironmentPrefix is the prefix of every environment variable.
const EnvironmentPrefix = "ROSEMARYSPOKE_"

// DefaultInboundMemory bounds what callers make a daemon hold where no platform names the host's memory. It has room for 2,048 connections.
const DefaultInboundMemory = 128 << 20

// DefaultMaxDirectServers is the number of servers that a leader calls itself. Calls to 350 servers take at most 0.35 cores.
const DefaultMaxDirectServers = 400

// DefaultPastUseHalfLife lets a busy morning count for the rest of the day and hardly the day after.
const DefaultPastUseHalfLife = 4 * time.Hour

// DefaultMaxPreemptionLoss admits a checkpoint each second and stops of 200 ms, which lose less than most tasks of batches work.
const DefaultMaxPreemptionLoss = 1250 * time.Millisecond

// Serve holds the settings of a daemon.
type Serve struct {
	Member     ident.MemberID
	Region     ident.Region
	DataCentre ident.DataCentre

	CallerListen   string
	OperatorListen string
	PeerListen     string
	PeerAddress    string

	StoreURL    string
	StoreRegion ident.Region

	PeerCertificate     string
	PeerKey             string
	PeerAuthority       string
	CallerCertificate   string
	CallerKey           string
	CallerTLSAtBalancer bool // the load balancer terminates TLS in front of the caller port

	OperatorToken   string
	Signers         []string
	RequiredSigners int

	LeaseTTL       time.Duration
	MemberInterval time.Duration
	ProbeTimeout   time.Duration

	MinRenewal            time.Duration
	MaxRenewal            time.Duration
	ClockDrift            time.Duration
	HostsInterval         time.Duration
	ControlBytesPerSecond int

	Freshness            time.Duration
	ReadInterval         time.Duration
	ClaimRetention       time.Duration
	JobRetention         time.Duration
	FlushInterval        time.Duration
	StoreWritesPerSecond float64
	LimitInterval        time.Duration
	QueueLimit           int
	QueueBytes           int
	RetryRatio           float64
	DrainTimeout         time.Duration

	InboundMemory      int64 // bytes held for callers; 0 means a share of the host's memory or DefaultInboundMemory
	InboundConnections int   // of callers; 0 means as many as the memory and the descriptors allow
	BodyTimeout        time.Duration
	MaxHeaderBytes     int

	LogLevel int
	LogJSON  bool

	// PlatformSettingsFile is the path of the settings file of a platform that keeps all state. With it, only MaxDirectServers,
	// PastUseHalfLife, MaxPreemptionLoss, Admission, the limits on what callers send and the log settings of this struct apply.
	PlatformSettingsFile string
	// MaxDirectServers is the number of backend servers up to which the leader on such a platform makes all calls to them itself.
	MaxDirectServers int
	// PastUseHalfLife is the time in which the past use of a team decays by half on such a platform; 0 means that it doesn't count.
	PastUseHalfLife time.Duration
	// MaxPreemptionLoss is the longest work that a run may lose for runs to be stopped to make room for urgent steps; 0 means never.
	MaxPreemptionLoss time.Duration
	// Admission rejects jobs beyond their team's weight that would be served too late on such a platform.
	Admission bool

	// Baseline replaces the scheduling policy with random fit in order of arrival. It has no flag; only the load driver
	// sets it.
	Baseline bool
}

// Error reports an invalid setting with its name, its value and what is allowed.
type Error struct {
	Name    string
	Value   string
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s (%s): value %q is not allowed: %s", e.Name, EnvironmentVariable(e.Name), e.Value, e.Allowed)
}

// EnvironmentVariable returns the name of a setting's environment variable.
func EnvironmentVariable(name string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// IsSecret reports whether the value of a setting of the daemon or of a client command must not be shown.
func IsSecret(name string) bool {
	switch name {
	case "peer-key", "caller-key", "operator-token", "key", "token", "signing-key":
		return true
	}
	return false
}

// Flags adds the flags of a daemon with their defaults to a set.
func (s *Serve) Flags(f *pflag.FlagSet) {
	f.StringVar((*string)(&s.Member), "member", "", "id of this daemon, unique in the cell")
	f.StringVar((*string)(&s.Region), "region", "", "region of this host")
	f.StringVar((*string)(&s.DataCentre), "data-centre", "", "data centre of this host")
	f.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:7100", "IP address and port for callers")
	f.StringVar(&s.OperatorListen, "operator-listen", "127.0.0.1:7101", "IP address and port for operators, metrics and health")
	f.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:7102", "IP address and port for other daemons")
	f.StringVar(&s.PeerAddress, "peer-address", "", "IP address and port under which other daemons reach this one; empty means peer-listen")
	f.StringVar(&s.StoreURL, "store-url", "", "URL of the platform's key-value service and host list")
	f.StringVar((*string)(&s.StoreRegion), "store-region", "", "region of the store; the other regions read the configuration through its daemons; empty means that every region reads the store")
	f.StringVar(&s.PeerCertificate, "peer-certificate", "", "certificate for other daemons: PEM text or the path of a file")
	f.StringVar(&s.PeerKey, "peer-key", "", "private key of the peer certificate: PEM text or the path of a file")
	f.StringVar(&s.PeerAuthority, "peer-authority", "", "certificates that sign the other daemons' certificates: PEM text or the path of a file")
	f.StringVar(&s.CallerCertificate, "caller-certificate", "", "certificate of the caller and operator ports: PEM text or the path of a file")
	f.StringVar(&s.CallerKey, "caller-key", "", "private key of the caller certificate: PEM text or the path of a file")
	f.BoolVar(&s.CallerTLSAtBalancer, "caller-tls-at-balancer", false, "the caller port speaks plain HTTP on any address, because the platform's balancer ends TLS in front of it; the caller certificate is then used by the operator port alone")
	f.StringVar(&s.OperatorToken, "operator-token", "", "credential of the operator endpoints that change or show state, at least 16 bytes")
	f.StringSliceVar(&s.Signers, "signers", nil, "Ed25519 public keys of the operators who sign bundles, base64, separated by commas")
	f.IntVar(&s.RequiredSigners, "required-signers", 1, "number of distinct operators who must sign a bundle")
	f.DurationVar(&s.LeaseTTL, "lease-ttl", member.DefaultLeaseTTL, "time to live of this member's lease in the store")
	f.DurationVar(&s.MemberInterval, "member-interval", member.DefaultInterval, "interval of lease renewal and membership checks")
	f.DurationVar(&s.ProbeTimeout, "probe-timeout", member.DefaultProbeTimeout, "time a peer has to answer a probe")
	f.DurationVar(&s.MinRenewal, "min-renewal", ownership.DefaultMinRenewal, "shortest interval of lease renewal per backend server; the lease is three intervals and must outlast the replacement of a dead daemon")
	f.DurationVar(&s.MaxRenewal, "max-renewal", ownership.DefaultMaxRenewal, "longest interval of lease renewal per backend server")
	f.DurationVar(&s.ClockDrift, "clock-drift", 500*time.Millisecond, "largest difference of two hosts' clocks over one lease")
	f.DurationVar(&s.HostsInterval, "hosts-interval", time.Second, "interval of reading the host list")
	f.IntVar(&s.ControlBytesPerSecond, "control-bytes-per-second", ownership.DefaultControlBytesPerSecond, "control traffic that lease renewals may use, in bytes per second; the rest of 9 KB/s is for summaries, limits and configuration")
	f.DurationVar(&s.Freshness, "freshness", 5*time.Second, "how long a confirmed configuration counts as current")
	f.DurationVar(&s.ReadInterval, "read-interval", time.Second, "interval of configuration checks")
	f.DurationVar(&s.ClaimRetention, "claim-retention", 10*time.Minute, "how long the answer of a non-idempotent request is kept for a resubmission")
	f.DurationVar(&s.JobRetention, "job-retention", time.Hour, "how long a finished job can be read")
	f.DurationVar(&s.FlushInterval, "flush-interval", 50*time.Millisecond, "interval of writing job records")
	f.Float64Var(&s.StoreWritesPerSecond, "store-writes-per-second", 8.8, "writes to the store that job records and limit parts may make, per second; a fifth is always left for job records")
	f.DurationVar(&s.LimitInterval, "limit-interval", 200*time.Millisecond, "interval of balancing the parts of the teams' limits")
	f.IntVar(&s.QueueLimit, "queue-limit", 10000, "most queued tasks per team in this daemon, unless the bundle says otherwise")
	f.IntVar(&s.QueueBytes, "queue-bytes", 24<<20, "most bytes of all queued tasks in this daemon, payloads included; a team may take a quarter of them")
	f.Float64Var(&s.RetryRatio, "retry-ratio", 0.2, "retries allowed per first start, over all work of this daemon")
	f.DurationVar(&s.DrainTimeout, "drain-timeout", 2*time.Minute, "longest time a shutdown waits for held requests")
	f.Int64Var(&s.InboundMemory, "inbound-memory", 0, "bytes that callers may make the daemon hold: connections, headers, bodies and decoded requests; 0 means a quarter of the host's memory with boot, otherwise 134217728")
	f.IntVar(&s.InboundConnections, "inbound-connections", 0, "most connections of callers; beyond it the one that is worth least is closed; 0 means as many as half of the inbound memory and, with boot, a third of the descriptors allow")
	f.DurationVar(&s.BodyTimeout, "body-timeout", inbound.DefaultBodyTimeout, "time for the arrival of a request's body; callers wait for answers for a shorter time")
	f.IntVar(&s.MaxHeaderBytes, "max-header-bytes", inbound.DefaultMaxHeaderBytes, "largest header of a request; at least what the installation allows callers")
	f.IntVar(&s.LogLevel, "log-level", 0, "verbosity of the log; higher shows more")
	f.BoolVar(&s.LogJSON, "log-json", false, "write the log as JSON")
	f.StringVar(&s.PlatformSettingsFile, "boot", "", "settings file of a platform that keeps all state; of the other settings only those that say so, the limits on what callers send and those of the log apply then")
	f.IntVar(&s.MaxDirectServers, "max-direct-servers", DefaultMaxDirectServers, "with boot, number of backend servers up to which the leader calls them itself; above it, other daemons make the calls; 0 means always")
	f.DurationVar(&s.PastUseHalfLife, "past-use-half-life", DefaultPastUseHalfLife, "with boot, time in which the past use of a team decays by half; work beyond its team's weight or past its last useful time starts in the order of past use, so that teams that have used less over hours come first; 0 means off")
	f.DurationVar(&s.MaxPreemptionLoss, "max-preemption-loss", DefaultMaxPreemptionLoss, "with boot, the longest checkpoint interval and stop, together, with which runs of lower priority are stopped to make room for urgent steps, as each of them loses about that much work; 0 means never")
	f.BoolVar(&s.Admission, "admission", false, "with boot, refuse jobs beyond their team's weight at once, with the time after which to retry, if the backlog would keep them past their last useful time; otherwise they are recorded and served too late")
}

// FromEnvironment sets every flag that wasn't given on the command line from its environment variable.
func FromEnvironment(f *pflag.FlagSet) error {
	var firstErr error
	f.VisitAll(func(g *pflag.Flag) {
		value, ok := os.LookupEnv(EnvironmentVariable(g.Name))
		if !ok || g.Changed || firstErr != nil {
			return
		}
		if err := f.Set(g.Name, value); err != nil {
			shown := value
			if IsSecret(g.Name) {
				shown = "(hidden)"
			}
			firstErr = &Error{Name: g.Name, Value: shown, Allowed: fmt.Sprintf("a value of type %s", g.Value.Type())}
		}
	})
	return firstErr
}

// isLoopback reports whether the IP address of an address and port is a loopback address.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// Package blame attributes task failures to a host or to a job: it compares one job's failures across hosts with one
// host's failures across jobs. Hosts at fault are quarantined, jobs at fault are not retried.
package blame

import (
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of the errors that New returns for invalid configurations.
var Error = errs.Class("blame")

// Defaults of the tracker.
const (
	// DefaultHostFailures and DefaultHostJobs are the thresholds of a host's quarantine: three failures of at least two
	// jobs without a success in between. Failures of a single job don't show whether the host is at fault.
	DefaultHostFailures = 3
	DefaultHostJobs     = 2
	// DefaultJobHosts is the threshold at which a job is stopped: it never succeeded, and failed on three hosts where
	// other jobs have succeeded since.
	DefaultJobHosts = 3
	// DefaultCooldown is the time before the first probe of a quarantined host. It doubles with every failed probe, up to
	// DefaultMaxCooldown.
	DefaultCooldown    = 30 * time.Second
	DefaultMaxCooldown = 30 * time.Minute
	// DefaultMaxFraction bounds the fraction of known hosts in quarantine. If more fail at the same time, the cause is
	// shared, such as a network or a dependency, and quarantining hosts would only remove capacity.
	DefaultMaxFraction = 0.25
	// DefaultMaxHosts and DefaultMaxJobs bound the records in memory. The least recently used one is evicted.
	DefaultMaxHosts = 8192
	DefaultMaxJobs  = 4096
	// maxTrackedFailures bounds the failing jobs kept per host and the failing hosts kept per job.
	maxTrackedFailures = 16
)

// Config configures a Tracker. Zero values select the defaults; Now must be set.
type Config struct {
	HostFailures int
	HostJobs     int
	JobHosts     int
	Cooldown     time.Duration
	MaxCooldown  time.Duration
	MaxFraction  float64
	MaxHosts     int
	MaxJobs      int
	Now          func() time.Time
}

func (c *Config) setDefaults() {
	setDefault(&c.HostFailures, DefaultHostFailures)
	setDefault(&c.HostJobs, DefaultHostJobs)
	setDefault(&c.JobHosts, DefaultJobHosts)
	setDefault(&c.Cooldown, DefaultCooldown)
	setDefault(&c.MaxCooldown, DefaultMaxCooldown)
	setDefault(&c.MaxFraction, DefaultMaxFraction)
	setDefault(&c.MaxHosts, DefaultMaxHosts)
	setDefault(&c.MaxJobs, DefaultMaxJobs)
}

func setDefault[V comparable](field *V, value V) {
	var zero V
	if *field == zero {
		*field = value
	}
}

// Tracker keeps failure statistics per host and per job. It is safe for concurrent use.
type Tracker struct {
	config Config

	mu               sync.Mutex
	hosts            *lru[ident.HostID, *hostRecord]
	jobs             *lru[ident.JobID, *jobRecord]
	quarantinedHosts int
	eventCount       uint64 // successes and failures so far; numbers events in their order
}

// hostRecord holds a host's failures since its last success. The quarantine is a circuit breaker with a failure threshold
// and a cooldown (Model Routes, circuit breaker): closed, open during the cooldown, then half-open for one probe.
type hostRecord struct {
	id               ident.HostID
	failures         map[ident.JobID]int // failures per job since the last success
	failureCount     int
	lastSuccessJob   ident.JobID
	lastSuccessEvent uint64 // event number
	quarantined      bool
	probing          bool
	until            time.Time // end of the cooldown or, while probing, of the wait for the result
	cooldown         time.Duration
	quarantines      int
}

// jobRecord holds the hosts on which a job failed. It is created by the first failure. After a later success the job is
// never stopped.
type jobRecord struct {
	firstFailures map[ident.HostID]uint64 // event number of the first failure on each host
	failureCount  int
	succeeded     bool
	stopReason    string
}

// New returns an empty tracker.
func New(c Config) (*Tracker, error) {
	if c.Now == nil {
		return nil, Error.New("Now isn't set")
	}
	c.setDefaults()
	if c.HostFailures < 1 || c.HostJobs < 1 || c.JobHosts < 2 || c.Cooldown < 0 || c.MaxCooldown < c.Cooldown ||
		c.MaxFraction < 0 || c.MaxFraction > 1 || c.MaxHosts < 1 || c.MaxJobs < 1 {
		return nil, Error.New("a bound is out of range: %+v", c)
	}
	t := &Tracker{config: c}
	t.hosts = newLRU[ident.HostID, *hostRecord](c.MaxHosts)
	t.jobs = newLRU[ident.JobID, *jobRecord](c.MaxJobs)
	return t, nil
}

func (t *Tracker) host(id ident.HostID) *hostRecord {
	h, ok := t.hosts.get(id)
	if !ok {
		h = &hostRecord{id: id, failures: map[ident.JobID]int{}}
		if evictedRecord, evicted := t.hosts.put(id, h); evicted && evictedRecord.quarantined {
			t.quarantinedHosts--
		}
	}
	return h
}

func (t *Tracker) job(id ident.JobID) *jobRecord {
	j, ok := t.jobs.get(id)
	if !ok {
		j = &jobRecord{firstFailures: map[ident.HostID]uint64{}}
		t.jobs.put(id, j)
	}
	return j
}

// RecordSuccess records that a task of the job succeeded on the host. It ends the host's quarantine.
func (t *Tracker) RecordSuccess(host ident.HostID, job ident.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(host)
	h.failureCount = 0
	clear(h.failures)
	t.eventCount++
	h.lastSuccessJob, h.lastSuccessEvent = job, t.eventCount
	h.cooldown = 0
	t.endQuarantine(h)
	// Only jobs that failed have a record. Thousands of single-task requests succeed each second, and records for them
	// would evict those of the failing jobs.
	if j, ok := t.jobs.get(job); ok {
		j.succeeded = true
		j.failureCount = 0
		clear(j.firstFailures)
	}
}

// RecordFailure records that a task of the job failed on the host.
func (t *Tracker) RecordFailure(host ident.HostID, job ident.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, j := t.host(host), t.job(job)
	j.failureCount++
	t.eventCount++
	if _, ok := j.firstFailures[host]; !ok && len(j.firstFailures) < maxTrackedFailures {
		j.firstFailures[host] = t.eventCount
	}
	t.updateJob(j, job)
	if j.stopReason != "" {
		t.endProbe(h)
		return
	}
	h.failureCount++
	if len(h.failures) < maxTrackedFailures || h.failures[job] > 0 {
		h.failures[job]++
	}
	t.updateQuarantine(h)
}

// updateJob stops a job that failed on JobHosts hosts where another job succeeded after the failure. Successes before the
// failure don't count: the host may have broken since, and when a rack breaks, the first failures are often those of one
// busy job.
func (t *Tracker) updateJob(j *jobRecord, id ident.JobID) {
	if j.succeeded || j.stopReason != "" || len(j.firstFailures) < t.config.JobHosts {
		return
	}
	healthyHosts := 0
	for host, failedAt := range j.firstFailures {
		if h, ok := t.hosts.peek(host); ok && h.lastSuccessEvent > failedAt && h.lastSuccessJob != id {
			healthyHosts++
		}
	}
	if healthyHosts >= t.config.JobHosts {
		j.stopReason = fmt.Sprintf("failed %d times and never succeeded; other jobs succeeded on %d of its hosts",
			j.failureCount, healthyHosts)
		t.discardFailures(j, id)
	}
}

// discardFailures removes a stopped job's failures from the host records and ends the quarantine of hosts that are then
// below the threshold.
func (t *Tracker) discardFailures(j *jobRecord, id ident.JobID) {
	for host := range j.firstFailures {
		h, ok := t.hosts.peek(host)
		if !ok {
			continue
		}
		h.failureCount -= h.failures[id]
		delete(h.failures, id)
		if h.quarantined && !t.hasReachedThreshold(h) {
			t.endQuarantine(h)
		}
	}
	clear(j.firstFailures)
}

func (t *Tracker) hasReachedThreshold(h *hostRecord) bool {
	return h.failureCount >= t.config.HostFailures && len(h.failures) >= t.config.HostJobs
}

// updateQuarantine is called after a failure: it quarantines a host that has reached the threshold, or extends the
// quarantine if a probe was running.
func (t *Tracker) updateQuarantine(h *hostRecord) {
	now := t.config.Now()
	switch {
	case h.quarantined && h.probing:
		h.probing = false
		h.cooldown = min(2*h.cooldown, t.config.MaxCooldown)
		h.until = now.Add(h.cooldown)
	case !h.quarantined && t.hasReachedThreshold(h):
		if t.quarantinedHosts >= max(1, int(t.config.MaxFraction*float64(t.hosts.len()))) {
			return
		}
		h.quarantined = true
		h.quarantines++
		t.quarantinedHosts++
		h.cooldown = t.config.Cooldown
		h.until = now.Add(h.cooldown)
	}
}

func (t *Tracker) endQuarantine(h *hostRecord) {
	if h.quarantined {
		h.quarantined = false
		t.quarantinedHosts--
	}
	h.probing = false
}

// endProbe allows the next probe at once. It is called when the probe failed because of its job, which doesn't show
// whether the host works.
func (t *Tracker) endProbe(h *hostRecord) {
	if h.quarantined && h.probing {
		h.probing = false
		h.until = t.config.Now()
	}
}

// BlockReason returns why no task may be placed on the host now, or an empty string. A quarantined host isn't blocked when
// its cooldown has passed and no probe runs; callers must then call AllowStart before they start a task there.
func (t *Tracker) BlockReason(host ident.HostID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts.peek(host)
	if !ok || !h.quarantined {
		return ""
	}
	if wait := h.until.Sub(t.config.Now()); wait > 0 {
		if h.probing {
			return "quarantined: waiting for the result of a probe"
		}
		return fmt.Sprintf("quarantined after %d failures of %d jobs, next probe in %v",
			h.failureCount, len(h.failures), wait.Round(time.Second))
	}
	return ""
}

// AllowStart reports whether a task may be started on the host. On a quarantined host it allows one task after the
// cooldown, as a probe. The next one is allowed after the probe's result, or after another cooldown if none arrives.
func (t *Tracker) AllowStart(host ident.HostID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts.peek(host)
	if !ok || !h.quarantined {
		return true
	}
	now := t.config.Now()
	if now.Before(h.until) {
		return false
	}
	h.probing = true
	h.until = now.Add(max(h.cooldown, t.config.Cooldown))
	return true
}

// StopReason reports whether the job is at fault and must not be retried, and why.
func (t *Tracker) StopReason(job ident.JobID) (reason string, stop bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j, ok := t.jobs.peek(job)
	if !ok {
		return "", false
	}
	t.updateJob(j, job)
	return j.stopReason, j.stopReason != ""
}

// HostDump is the state of one host in a Dump.
type HostDump struct {
	Host        ident.HostID `json:"host"`
	Failures    int          `json:"failures"`
	Jobs        int          `json:"jobs"`
	Quarantined bool         `json:"quarantined"`
	Probing     bool         `json:"probing"`
	Until       time.Time    `json:"until,omitzero"`
}

// Dump is the state of a Tracker.
type Dump struct {
	Hosts       []HostDump             `json:"hosts"` // hosts that failed since their last success or are quarantined
	Stopped     map[ident.JobID]string `json:"stopped"`
	KnownHosts  int                    `json:"known-hosts"`
	KnownJobs   int                    `json:"known-jobs"`
	Quarantined int                    `json:"quarantined"`
}

// Dump returns the state for the state dump and the metrics.
func (t *Tracker) Dump() Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Stopped: map[ident.JobID]string{}, KnownHosts: t.hosts.len(), KnownJobs: t.jobs.len(), Quarantined: t.quarantinedHosts}
	t.hosts.each(func(id ident.HostID, h *hostRecord) {
		if h.failureCount > 0 || h.quarantined {
			d.Hosts = append(d.Hosts, HostDump{
				Host: id, Failures: h.failureCount, Jobs: len(h.failures), Quarantined: h.quarantined, Probing: h.probing, Until: h.until,
			})
		}
	})
	t.jobs.each(func(id ident.JobID, j *jobRecord) {
		if j.stopReason != "" {
			d.Stopped[id] = j.stopReason
		}
	})
	return d
}

//go:build review

package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Step is a step of a job.
type Step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu,omitempty"` // thousandths of a core
	GPU        int64 `json:"gpu,omitempty"`
	EstimateMs int   `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
	Lasts      bool  `json:"longRunning,omitempty"`
}

// Job is a job as a requester hands it in. Spec lists the milliseconds that a task of each step takes.
type Job struct {
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	Repetitions int    `json:"repetitions,omitempty"`
}

// Tenant is a tenant of the configuration.
type Tenant struct{ Name, Key string }

// Queue is a route of the configuration.
type Queue struct {
	Name, Service string
	Priority      int
}

// Requester calls daemons with the key of a tenant on one queue.
type Requester struct {
	Lab    *Lab
	Tenant Tenant
	Queue  string
}

// Configure writes a configuration with tenants without limits. It returns once the store has accepted it.
func (l *Lab) Configure(version int, queues []Queue, tenants ...Tenant) {
	routes, rows := []map[string]any{}, []map[string]any{}
	text := ""
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": "jobs.example", "prefix": "/" + q.Name + "/", "service": q.Service, "priority": q.Priority,
			"maxAttempts": 4, "stretch": 2, "targetDurationMs": 1000,
		})
		text += fmt.Sprintf(", queue %s to service %s", q.Name, q.Service)
	}
	for _, t := range tenants {
		rows = append(rows, map[string]any{
			"name": t.Name, "apiKeys": []string{t.Key}, "weight": 1000, "maxCount": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0},
		})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "tenants": rows, "services": []any{}, "limits": map[string]any{}})
	l.check(err)
	l.Store.Put("op/config", value)
	l.Record("operator: the store has accepted configuration %d%s", version, text)
}

// WaitReady waits until all daemons are ready.
func (l *Lab) WaitReady() {
	for _, d := range l.Daemons {
		address := d.settings.IP + ":" + strconv.Itoa(d.settings.FirstInternalPort+portsOfAHost-1)
		for ready := false; !ready; {
			if l.since() > 20*time.Second {
				l.NotRun("a daemon isn't ready after 20 s")
			}
			if r, err := http.Get("http://" + address + "/readiness"); err == nil {
				ready = r.StatusCode == http.StatusOK
				_ = r.Body.Close()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.Record("all daemons are ready")
}

// Submit hands in a job. It returns the status, or 0 without an answer within the time limit.
func (q *Requester) Submit(d *Daemon, id string, job Job, limit time.Duration) int {
	demands := []int64{}
	for _, s := range job.Steps {
		demands = append(demands, s.CPU)
	}
	q.Lab.mu.Lock()
	q.Lab.demands[id] = demands
	q.Lab.mu.Unlock()
	code, _ := q.call(d, http.MethodPost, id, job, limit)
	return code
}

// State asks for the state of a job.
func (q *Requester) State(d *Daemon, id string, limit time.Duration) (int, string) {
	code, body := q.call(d, http.MethodGet, id, nil, limit)
	var reply struct {
		State string `json:"state"`
	}
	if json.Unmarshal(body, &reply) != nil {
		return code, ""
	}
	return code, reply.State
}

// Cancel cancels a job.
func (q *Requester) Cancel(d *Daemon, id string, limit time.Duration) int {
	code, _ := q.call(d, http.MethodDelete, id, nil, limit)
	return code
}

func (q *Requester) call(d *Daemon, method, id string, in any, limit time.Duration) (int, []byte) {
	sent := q.Lab.since()
	var raw []byte
	if in != nil {
		raw, _ = json.Marshal(in) // a job has no values that JSON can't hold
	}
	r, err := http.NewRequest(method, "http://"+d.settings.CallerAddress()+"/"+q.Queue+"/"+id, bytes.NewReader(raw))
	q.Lab.check(err)
	r.Host = "jobs.example"
	r.Header.Set("Authorization", "Bearer "+q.Tenant.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	code, body, answer := 0, []byte(nil), "no answer"
	if response, err := client.Do(r); err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			code, answer = response.StatusCode, fmt.Sprintf("%d %s", response.StatusCode, bytes.TrimSpace(body))
		}
	}
	if q.Lab.listed(id) {
		q.Lab.Record("requester of %s at %s: %s %s sent at %.3f: %s", q.Tenant.Name, d.Name, method, id, sent.Seconds(), answer)
	}
	return code, body
}

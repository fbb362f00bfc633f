//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// maxBodyBytes is the size of a legal body, as at both installations.
const maxBodyBytes = 262_144

// job is a submission. Its fields are those of PROTOCOL.md.
type job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	// Of a job that runs at a set time.
	Repetitions int   `json:"repetitions,omitempty"`
	StartAt     int64 `json:"startAtMs,omitempty"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memMb"`
	Estimate     int    `json:"estimateMs"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
}

// newJob returns a job of one step.
func newJob(s step) job {
	s.Memory = 100
	return job{ID: fmt.Sprintf("%016x", rand.Uint64()), Spec: "lab", Steps: []step{s}}
}

// task returns the name of the n-th task of a job of one step.
func (j job) task(n int) string { return fmt.Sprintf("%s.0.0.%d", j.ID, n) }

// size returns the size of the body.
func (j job) size() int {
	body, err := json.Marshal(j)
	if err != nil {
		return 0
	}
	return len(body)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// submit hands a job in at a daemon. It returns the status, or 0 without an answer.
func (d *daemon) submit(queue, tenant string, j job) int {
	body, err := json.Marshal(j)
	if err != nil {
		return 0
	}
	return d.call(http.MethodPost, "/"+queue+"/"+j.ID, tenant, body)
}

func (d *daemon) call(method, path, tenant string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = callerHost
	r.Header.Set("Authorization", "Bearer key-"+tenant)
	r.Header.Set("Deadline-Ms", "3000")
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// handIn submits a job at any daemon, again after a refusal or without an answer, until it is accepted.
func (c *cell) handIn(queue, tenant string, j job) error {
	c.mu.Lock()
	c.cpu[j.ID] = j.Steps[0].CPU
	c.mu.Unlock()
	for range 40 {
		d := c.daemons[rand.IntN(len(c.daemons))]
		status := d.submit(queue, tenant, j)
		c.record.note("%s: POST /%s/%s answered %d", d.name, queue, j.ID, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", j.ID)
}

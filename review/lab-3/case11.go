//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdConnections = 16
	crowdJobs        = 1200
	crowdSteps       = 200
	finishTime       = 14 * time.Second // finish_s
)

// crowdOfLargeBodies: clients hand in many large bodies of legal size at once, whole. Then they leave. A process that exceeds the memory of
// its machine is killed and started again, as on the machines. An ordinary job is handed in after the crowd has left.
func crowdOfLargeBodies(c *cell, trouble bool) (bool, error) {
	ends := func(string, int) outcome { return outcome{second(1), "done"} }
	if err := c.prepare(3, ends); err != nil {
		return false, err
	}
	c.watchMemory()
	if trouble {
		c.sendCrowd()
	}
	ordinary := newJob(step{Count: 1, CPU: 500, Estimate: 1000})
	if err := c.handIn("urgent", "blue", ordinary); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	idleSince := time.Now()
	for end := time.Now().Add(second(60)); time.Now().Before(end); time.Sleep(second(0.02)) {
		if len(c.history.startsOf(ordinary.task(0))) > 0 {
			c.record.note("check: the ordinary job has been started")
			return false, nil
		}
		cpu := ordinary.Steps[0].CPU
		if _, places := c.look(ordinary.task(0), cpu); 2*places*cpu <= workerCPU*len(c.workers) { // half of the service is in use
			idleSince = time.Now()
		}
		if time.Since(idleSince) > nothingRuns {
			c.record.note("check: LOST, %s later the ordinary job has had no run, with under half of the service in use for 3 s", finishTime)
			time.Sleep(second(20)) // to record what becomes of the daemons
			return true, nil
		}
	}
	return false, nil
}

// sendCrowd hands in jobs of many steps, each after all earlier ones, over some connections.
func (c *cell) sendCrowd() {
	large := newJob(step{Count: 1, CPU: 1000, Estimate: 1000})
	large.Spec = strings.Repeat("s", 4000)
	for n := 1; n < crowdSteps; n++ {
		s := large.Steps[0]
		for a := range n {
			s.After = append(s.After, a)
		}
		large.Steps = append(large.Steps, s)
	}
	var accepted, refused, unanswered atomic.Int32
	var group sync.WaitGroup
	for n := range crowdConnections {
		group.Go(func() {
			for range crowdJobs / crowdConnections {
				j := large
				j.ID = newJob(large.Steps[0]).ID
				switch c.daemons[n%len(c.daemons)].submit("batch", "red", j) {
				case http.StatusOK:
					accepted.Add(1)
				case 0:
					unanswered.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	client.CloseIdleConnections()
	c.record.note("crowd: %d bodies of %d bytes, %d accepted, %d refused, %d without an answer; all connections are closed",
		crowdJobs, large.size(), accepted.Load(), refused.Load(), unanswered.Load())
}

// watchMemory kills processes that exceed the memory of their machine.
func (c *cell) watchMemory() {
	for _, d := range c.daemons {
		go func() {
			for ; ; time.Sleep(second(0.05)) {
				if used := d.privateMB(); used > memoryMB {
					d.kill(fmt.Sprintf("it has %d MB of private memory, its machine %d", used, memoryMB))
					time.Sleep(second(0.5)) // until it has been started again
				}
			}
		}()
	}
}

// privateMB returns the memory of the process without that of mapped files, such as the program's.
func (d *daemon) privateMB() int {
	d.mu.Lock()
	pid := d.process.Process.Pid
	d.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes := 0
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes / 1024
}

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
	endsOfFault      = 3 // ends of a machine's process in a day that count
	machinesOfFault  = 2 // machines with as many ends that make a fault
)

// crowdOfLargeBodies: clients hand in many large bodies of legal size at once, whole. Then they leave. A process that exceeds the memory of
// its machine is killed and started again, as on the machines.
func crowdOfLargeBodies(c *cell, trouble bool) (bool, error) {
	ends := func(string, int) outcome { return outcome{second(1), "done"} }
	if err := c.prepare(3, ends); err != nil {
		return false, err
	}
	memory := c.watchMemory()
	if trouble {
		c.sendCrowd()
	}
	ordinary := newJob(step{Count: 2, CPU: 500, Estimate: 1000})
	if err := c.handIn("urgent", "blue", ordinary); err != nil {
		return true, nil // nobody is served any more
	}
	state := ""
	for end := time.Now().Add(second(80)); time.Now().Before(end); time.Sleep(second(0.5)) {
		if state != "completed" {
			state = c.daemons[0].state("urgent", "blue", ordinary)
		}
		if machines := memory.machines(); machines >= machinesOfFault {
			c.record.note("check: Fault, the processes of %d machines have ended %d times for memory; the ordinary job is %q", machines, endsOfFault, state)
			return true, nil
		}
		if !trouble && state == "completed" {
			break
		}
	}
	c.record.note("check: the ordinary job is %q", state)
	return state != "completed", nil
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
				switch c.daemons[n%len(c.daemons)].submit("other", "red", j) {
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

// memoryWatch counts the ends of each daemon's process for memory.
type memoryWatch struct {
	mu   sync.Mutex
	ends map[string]int
}

func (m *memoryWatch) machines() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, ends := range m.ends {
		if ends >= endsOfFault {
			n++
		}
	}
	return n
}

// watchMemory kills processes that exceed the memory of their machine.
func (c *cell) watchMemory() *memoryWatch {
	m := &memoryWatch{ends: map[string]int{}}
	for _, d := range c.daemons {
		go func() {
			for ; ; time.Sleep(second(0.05)) {
				used := d.privateMB()
				if used <= memoryMB {
					continue
				}
				d.kill(fmt.Sprintf("it has %d MB of private memory, its machine %d", used, memoryMB))
				m.mu.Lock()
				m.ends[d.name]++
				m.mu.Unlock()
				time.Sleep(second(0.5)) // until it has been started again
			}
		}()
	}
	return m
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

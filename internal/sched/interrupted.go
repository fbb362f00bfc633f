package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// StartInterrupted handles a start whose caller was lost before its outcome was known. The server may have carried it out or may still do
// so, but the loss shows nothing about the server or the delay of its replies.
func (s *Scheduler) StartInterrupted(now time.Time, id ServerID, task TaskID, number RunNumber) {
	s.now = now
	p := s.findRun(id, task, number)
	if p == nil || p.phase != phaseStarting {
		return
	}
	v := p.server
	p.startUncertain, v.incarnationInDoubt = true, true
	if p.startAttempts < maxStartAttempts && v.attached && v.admitsRepeatedStarts() && s.incarnationProven(v) {
		s.sendStart(p)
		return
	}
	if !v.polling {
		s.poll(v, 0, 0)
	}
	s.abandonStart(p, "caller lost")
}

// PollInterrupted handles a poll whose caller was lost before its outcome was known. The server is polled again at once.
func (s *Scheduler) PollInterrupted(now time.Time, id ServerID, serial uint64) {
	s.now = now
	v := s.servers[id]
	if v == nil || v.pollSerial != serial || !v.polling {
		return
	}
	v.polling, v.incarnationInDoubt = false, true
	s.poll(v, 0, 0)
}

// ServersByDataCentre returns the number of servers in each data centre.
func (s *Scheduler) ServersByDataCentre() map[ident.DataCentre]int {
	counts := map[ident.DataCentre]int{}
	for _, v := range s.servers {
		counts[v.info.DataCentre]++
	}
	return counts
}

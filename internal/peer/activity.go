package peer

import (
	"sync"
	"time"
)

const (
	// unansweredLimit is how long a call may wait, with nothing received meanwhile, before its connection is checked. Peers
	// reply to most calls within milliseconds; a longer wait of a slow handler costs a ping.
	unansweredLimit = 200 * time.Millisecond
	// waitingLimit is the same for a connection that has delivered something since the latest call was sent, such as one
	// on which only long polls wait.
	waitingLimit = time.Second
	// writePart is the number of bytes that are written at once, 13 ms on a link of 10 Mbit/s.
	writePart = 16 << 10
)

// activity records when calls wait on a connection and when it receives, and reports when the calls have waited too long
// with nothing received. It is safe for concurrent use.
type activity struct {
	onOverdue func() // called in a goroutine of its own; set before the first call

	mu           sync.Mutex
	waiting      int       // calls without a reply
	lastReceived time.Time // when bytes were last received; the start of the connection before
	lastWritten  time.Time // when a part of a large write was last completed
	unanswered   time.Time // start of the first call after lastReceived; older if there is none
	armed        bool      // the timer runs
	timer        *time.Timer
}

func newActivity() *activity { return &activity{lastReceived: time.Now()} }

// callStarted records that a call is about to be sent.
func (a *activity) callStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting++
	switch now := time.Now(); {
	case !a.unanswered.After(a.lastReceived):
		a.unanswered = now
		a.arm(unansweredLimit)
	case !a.armed:
		a.arm(unansweredLimit)
	}
}

// callEnded records that a call has ended, with or without a reply.
func (a *activity) callEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// received records that bytes arrived.
func (a *activity) received() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReceived = time.Now()
}

// wrotePart records that a part of a large write was completed. The rest would wait if the connection were silent.
func (a *activity) wrotePart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastWritten = time.Now()
}

// progressSince reports whether bytes were received, or parts of a large write completed, after t.
func (a *activity) progressSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReceived.After(t) || a.lastWritten.After(t)
}

// arm sets the timer.
func (a *activity) arm(d time.Duration) {
	a.armed = true
	if a.timer == nil {
		a.timer = time.AfterFunc(d, a.expire)
		return
	}
	a.timer.Reset(d)
}

// expire reports that the connection is overdue, or waits for the time at which it will be. A call that ended without a
// reply still counts: callers that each wait for less than the limit would otherwise never find a silent connection.
func (a *activity) expire() {
	a.mu.Lock()
	a.armed = false
	due := a.lastReceived.Add(waitingLimit)
	switch {
	case a.unanswered.After(a.lastReceived):
		due = a.unanswered.Add(unansweredLimit)
	case a.waiting <= 0:
		a.mu.Unlock()
		return
	}
	if wait := time.Until(due); wait > 0 {
		a.arm(wait)
		a.mu.Unlock()
		return
	}
	if a.waiting > 0 {
		a.arm(waitingLimit) // the next check, should this one find nothing
	}
	a.mu.Unlock()
	a.onOverdue()
}

package coordinator

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Guards against additional bytes in replies without forecasts, as with the setting off, and against daemons of the former and the present
// version that don't understand each other's replies.
func TestReplyToAReport(t *testing.T) {
	encode := func(v any) string {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	former := encode(leaderReply{Leading: true})
	if got := encode(submitReply{Leading: true}); got != former {
		t.Errorf("reply without forecasts is %s, want %s", got, former)
	}
	statement := admission.Statement{Age: time.Millisecond, Forecasts: []admission.Forecast{{Team: "busy", Queue: "q", Wait: time.Minute}}}
	var toFormer leaderReply
	if err := json.Unmarshal([]byte(encode(submitReply{Leading: true, Admission: &statement})), &toFormer); err != nil || !toFormer.Leading {
		t.Errorf("a former daemon reads %+v, %v", toFormer, err)
	}
	var fromFormer submitReply
	if err := json.Unmarshal([]byte(former), &fromFormer); err != nil || !fromFormer.Leading || len(fromFormer.statement().Forecasts) > 0 {
		t.Errorf("read from a former leader: %+v, %v", fromFormer, err)
	}
}

// Guards against a daemon without a term, or whose term is still loading, that states something about admission, and against a leader with the setting off that does.
func TestStatementOfATerm(t *testing.T) {
	m, _ := newLoggedTerm(t)
	c := m.coordinator
	job := &sched.Job{ID: "a", Steps: []sched.Step{{Count: 1}}}
	if r := c.submit(submitRequest{Job: job}); r.Leading || r.Admission != nil {
		t.Errorf("without a term: %+v", r)
	}
	c.term = m
	if r := c.submit(submitRequest{Job: job}); r.Leading || r.Admission != nil {
		t.Errorf("while loading: %+v", r)
	}
	m.loaded = true
	if r := c.submit(submitRequest{Job: job}); !r.Leading || r.Admission != nil {
		t.Errorf("with the setting off: %+v", r)
	}
}

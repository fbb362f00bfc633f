package caller

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
)

// Guards against a body that makes the decoder or the checks panic, that is accepted with numbers that overflow later, or
// that is refused without a problem with the outcome not-run.
func FuzzDecodeSpec(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `{}`, `[]`, `{"team":"a"}{}`, `{"demand":{"milli-cpu":-1}}`, `{"tasks":99999999999999999999}`,
		`{"team":"a","queue":"plans","tasks":4096,"priority":100,"run-time-ms":2592000000,"deadline-ms":600000}`,
		`{"demand":{"milli-cpu":9223372036854775807,"memory-mb":1,"gpus":1,"slots":1,"connections":1}}`,
		`{"non-idempotent":true,"request-id":"r-1","payload":"aGVsbG8="}`, `{"payload":"%"}`, `{"TEAM":1e400}`,
		strings.Repeat(`{"demand":`, 50),
	} {
		f.Add([]byte(seed), 0)
	}
	f.Fuzz(func(t *testing.T, body []byte, maxTasks int) {
		var s api.Spec
		err := Decode(strings.NewReader(string(body)), &s)
		if err == nil {
			err = checkSpec(&s, bundle.Queue{Kind: api.KindBatch, MaxTasks: maxTasks})
		}
		if err != nil {
			var p *api.Problem
			if !errors.As(err, &p) || p.Outcome != api.NotRun || p.Code != api.CodeInvalid || p.Status != http.StatusBadRequest {
				t.Fatalf("got error %#v, want an invalid-request problem with the outcome not-run", err)
			}
			return
		}
		total := s.Demand.Times(int64(max(1, s.Tasks)))
		if s.Tasks < 0 || s.Deadline.Duration() < 0 || s.RunTime.Duration() < 0 || total.Negative() || len(s.Payload) > api.MaxPayloadBytes {
			t.Fatalf("accepted a submission outside its limits: %+v", s)
		}
	})
}

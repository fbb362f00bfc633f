package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	testSecret  = "rsk_secret-of-team-a"
	otherSecret = "rsk_secret-of-team-b"
	runningJob  = "job-1"
)

func testBundle() *bundle.Compiled {
	return bundle.Compile(bundle.Bundle{
		Teams: []bundle.Team{
			{ID: "a", Share: 1, Limit: 5, ClaimRegion: "x", Keys: []bundle.Key{{ID: "one", Hash: bundle.HashSecret(testSecret)}}},
			{ID: "b", Share: 1, Limit: 5, ClaimRegion: "x", Keys: []bundle.Key{{ID: "one", Hash: bundle.HashSecret(otherSecret)}}},
		},
		Queues: []bundle.Queue{
			{ID: "quotes", Kind: api.KindRequest, MaxDemand: resource.Vector{CPU: 4000, Memory: 1024, Slots: 1, Connections: 1}},
			{ID: "open", Kind: api.KindRequest, Open: true},
			{ID: "plans", Kind: api.KindBatch, MaxTasks: 8},
			{ID: "only-b", Kind: api.KindRequest, Teams: []ident.TeamID{"b"}},
		},
	}, 1)
}

// stubs configures the dependencies of a test server. Those that aren't set succeed.
type stubs struct {
	staleBundle bool
	noBundle    bool // no configuration has been read
	request     func() (api.Answer, *api.Problem)
	createErr   error
	getErr      error
	cancelErr   error
	submissions int // calls of RunRequest and Jobs.Create
}

func (f *stubs) server(t testing.TB) *Server {
	t.Helper()
	current := testBundle()
	if f.noBundle {
		current = nil
	}
	found := api.Job{ID: runningJob, Spec: api.Spec{Team: "a", Queue: "plans"}, Phase: api.Running}
	s, err := New(Config{
		Bundle:      func() *bundle.Compiled { return current },
		BundleFresh: func() bool { return !f.staleBundle },
		RunRequest: func(_ context.Context, s api.Spec, _ bundle.Queue) (api.Answer, *api.Problem) {
			f.submissions++
			if f.request != nil {
				return f.request()
			}
			return api.Answer{Outcome: api.Answered, Request: s.Request, Team: s.Team}, nil
		},
		Jobs: Jobs{
			Create: func(_ context.Context, s api.Spec, _ job.Policy) (api.Job, error) {
				f.submissions++
				return api.Job{ID: runningJob, Spec: s, Phase: api.Queued}, f.createErr
			},
			Get:     func(context.Context, ident.JobID) (api.Job, error) { return found, f.getErr },
			List:    func(context.Context, ident.TeamID) ([]api.Job, error) { return nil, nil },
			Cancel:  func(context.Context, ident.JobID, string) error { return f.cancelErr },
			Explain: func(context.Context, ident.JobID) (api.Explanation, error) { return api.Explanation{}, nil },
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// send makes an API call with a key. call has the form "POST /v1/jobs".
func (f *stubs) send(t testing.TB, call, key, body string) *httptest.ResponseRecorder {
	t.Helper()
	method, path, _ := strings.Cut(call, " ")
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set(api.KeyHeader, "Bearer "+key)
	}
	w := httptest.NewRecorder()
	f.server(t).Handler().ServeHTTP(w, r)
	return w
}

// spec returns the body of a request of team a for the queue quotes, with additional fields.
func spec(more string) string {
	return `{"team":"a","queue":"quotes","demand":{"milli-cpu":1000,"memory-mb":64}` + more + `}`
}

// Guards against an invalid submission that is run, gets a status below 400 or the wrong code or field, or causes a panic.
func TestRefusedSubmissions(t *testing.T) {
	const requests, jobs = "POST /v1/requests", "POST /v1/jobs"
	big := strings.Repeat("A", api.MaxBodyBytes)
	cases := map[string]struct {
		call, key, body string
		stubs           stubs
		status          int
		code            api.Code
		field           string
	}{
		"empty body":            {requests, testSecret, ``, stubs{}, 400, api.CodeInvalid, ""},
		"invalid JSON":          {requests, testSecret, `{"team"`, stubs{}, 400, api.CodeInvalid, ""},
		"null body":             {requests, testSecret, `null`, stubs{}, 400, api.CodeInvalid, "team"},
		"second JSON value":     {requests, testSecret, spec("") + `{}`, stubs{}, 400, api.CodeInvalid, ""},
		"unknown field":         {requests, testSecret, spec(`,"taks":1`), stubs{}, 400, api.CodeInvalid, "taks"},
		"secret as a field":     {requests, testSecret, spec(`,"rsk_Secret0":1`), stubs{}, 400, api.CodeInvalid, ""},
		"unknown demand field":  {requests, testSecret, `{"demand":{"tpus":1}}`, stubs{}, 400, api.CodeInvalid, "tpus"},
		"text for a number":     {requests, testSecret, spec(`,"tasks":"1"`), stubs{}, 400, api.CodeInvalid, "tasks"},
		"list for an object":    {requests, testSecret, `{"demand":[]}`, stubs{}, 400, api.CodeInvalid, "demand"},
		"fractional tasks":      {requests, testSecret, spec(`,"tasks":1.5`), stubs{}, 400, api.CodeInvalid, "tasks"},
		"payload not base64":    {requests, testSecret, spec(`,"payload":"%"`), stubs{}, 400, api.CodeInvalid, "payload"},
		"negative tasks":        {jobs, testSecret, `{"team":"a","queue":"plans","tasks":-1}`, stubs{}, 400, api.CodeInvalid, "tasks"},
		"tasks over the queue":  {jobs, testSecret, `{"team":"a","queue":"plans","tasks":9}`, stubs{}, 400, api.CodeInvalid, "tasks"},
		"request with 2 tasks":  {requests, testSecret, spec(`,"tasks":2`), stubs{}, 400, api.CodeInvalid, "tasks"},
		"priority too high":     {requests, testSecret, spec(`,"priority":101`), stubs{}, 400, api.CodeInvalid, "priority"},
		"negative deadline":     {requests, testSecret, spec(`,"deadline-ms":-1`), stubs{}, 400, api.CodeInvalid, "deadline-ms"},
		"overflowing deadline":  {requests, testSecret, spec(`,"deadline-ms":9223372036854775807`), stubs{}, 400, api.CodeInvalid, "deadline-ms"},
		"overflowing run time":  {requests, testSecret, spec(`,"run-time-ms":9223372036854775807`), stubs{}, 400, api.CodeInvalid, "run-time-ms"},
		"number over 64 bits":   {requests, testSecret, spec(`,"run-time-ms":9223372036854775808`), stubs{}, 400, api.CodeInvalid, "run-time-ms"},
		"negative demand":       {requests, testSecret, `{"team":"a","queue":"quotes","demand":{"gpus":-1}}`, stubs{}, 400, api.CodeInvalid, "demand"},
		"overflowing demand":    {jobs, testSecret, `{"team":"a","queue":"plans","demand":{"milli-cpu":9223372036854775807}}`, stubs{}, 400, api.CodeInvalid, "demand"},
		"demand over the queue": {requests, testSecret, `{"team":"a","queue":"quotes","demand":{"milli-cpu":4001}}`, stubs{}, 400, api.CodeInvalid, "demand"},
		"large payload":         {requests, testSecret, spec(`,"payload":"` + big[:(api.MaxPayloadBytes/3+2)*4] + `"`), stubs{}, 400, api.CodeInvalid, "payload"},
		"oversize body":         {requests, testSecret, spec(`,"payload":"` + big + `"`), stubs{}, 413, api.CodeTooLarge, ""},
		"invalid request id":    {requests, testSecret, spec(`,"request-id":"a/b"`), stubs{}, 400, api.CodeInvalid, "request-id"},
		"non-idempotent, no id": {requests, testSecret, spec(`,"non-idempotent":true`), stubs{}, 400, api.CodeInvalid, "request-id"},
		"unknown team":          {requests, testSecret, `{"team":"c","queue":"quotes"}`, stubs{}, 400, api.CodeInvalid, "team"},
		"unknown queue":         {requests, testSecret, `{"team":"a","queue":"none"}`, stubs{}, 400, api.CodeInvalid, "queue"},
		"request on job queue":  {requests, testSecret, `{"team":"a","queue":"plans"}`, stubs{}, 400, api.CodeInvalid, "queue"},
		"job on request queue":  {jobs, testSecret, spec(""), stubs{}, 400, api.CodeInvalid, "queue"},
		"missing key":           {requests, "", spec(""), stubs{}, 401, api.CodeUnauthorized, ""},
		"key of another team":   {requests, otherSecret, spec(""), stubs{}, 401, api.CodeUnauthorized, ""},
		"team not allowed":      {requests, testSecret, `{"team":"a","queue":"only-b"}`, stubs{}, 401, api.CodeUnauthorized, "queue"},
		"stale configuration":   {requests, testSecret, spec(""), stubs{staleBundle: true}, 503, api.CodeStale, ""},
		"no configuration":      {requests, testSecret, spec(""), stubs{noBundle: true}, 503, api.CodeUnavailable, ""},
		"list of unknown team":  {"GET /v1/jobs?team=c", testSecret, "", stubs{}, 400, api.CodeInvalid, "team"},
		"list, wrong key":       {"GET /v1/jobs?team=a", otherSecret, "", stubs{}, 401, api.CodeUnauthorized, ""},
		"unknown method":        {"PUT /v1/jobs", testSecret, "", stubs{}, 404, api.CodeNotFound, ""},
		"unknown path":          {"GET /v2/jobs", testSecret, "", stubs{}, 404, api.CodeNotFound, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := c.stubs.send(t, c.call, c.key, c.body)
			p := problemOf(t, w)
			if w.Code != c.status || p.Code != c.code || p.Field != c.field || p.Outcome != api.NotRun {
				t.Errorf("got status %d and %+v", w.Code, p)
			}
			if c.stubs.submissions != 0 {
				t.Error("a refused submission was run or recorded")
			}
			if strings.Contains(w.Body.String(), "rsk_") {
				t.Errorf("the response contains a key: %s", w.Body)
			}
		})
	}
}

// problemOf decodes the problem of a response and checks its common fields.
func problemOf(t *testing.T, w *httptest.ResponseRecorder) api.Problem {
	t.Helper()
	var p api.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
	}
	if got := w.Header().Get("Content-Type"); got != "application/problem+json" || p.Status != w.Code || p.Detail == "" {
		t.Errorf("status %d, content type %q, problem %+v", w.Code, got, p)
	}
	return p
}

// Guards against reporting a running job as not run because a call about it was refused.
func TestRefusedCallsAboutJobs(t *testing.T) {
	const get, wait = "GET /v1/jobs/job-1", "GET /v1/jobs/job-1/wait"
	cases := map[string]struct {
		call, key string
		stubs     stubs
		status    int
		code      api.Code
		field     string
	}{
		"missing key":         {get, "", stubs{}, 401, api.CodeUnauthorized, ""},
		"wrong key, explain":  {get + "/explain", otherSecret, stubs{}, 401, api.CodeUnauthorized, ""},
		"wrong key, cancel":   {"DELETE /v1/jobs/job-1", otherSecret, stubs{}, 401, api.CodeUnauthorized, ""},
		"stale configuration": {get, testSecret, stubs{staleBundle: true}, 503, api.CodeStale, ""},
		"no configuration":    {get, testSecret, stubs{noBundle: true}, 503, api.CodeUnavailable, ""},
		"invalid job id":      {"GET /v1/jobs/-", testSecret, stubs{}, 400, api.CodeInvalid, "id"},
		"negative wait":       {wait + "?timeout-ms=-1", testSecret, stubs{}, 400, api.CodeInvalid, "timeout-ms"},
		"overflowing wait":    {wait + "?timeout-ms=99999999999999999999", testSecret, stubs{}, 400, api.CodeInvalid, "timeout-ms"},
		"owner unreachable":   {get, testSecret, stubs{getErr: job.ErrNotFound}, 404, api.CodeNotFound, ""},
		"daemon unreachable":  {get, testSecret, stubs{getErr: api.NewProblem(api.CodeUnavailable, "", "no answer")}, 503, api.CodeUnavailable, ""},
		"cancel fails":        {"DELETE /v1/jobs/job-1", testSecret, stubs{cancelErr: errors.New("x")}, 500, api.CodeInternal, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := c.stubs.send(t, c.call, c.key, "")
			p := problemOf(t, w)
			if w.Code != c.status || p.Code != c.code || p.Field != c.field || p.Outcome != api.Unknown {
				t.Errorf("got status %d and %+v", w.Code, p)
			}
		})
	}
}

// Guards against an outcome or a Retry-After that the HTTP response loses or changes.
func TestOutcomeMapping(t *testing.T) {
	answer := func(o api.Outcome) func() (api.Answer, *api.Problem) {
		return func() (api.Answer, *api.Problem) { return api.Answer{Outcome: o, Team: "a"}, nil }
	}
	overloaded := api.NewProblem(api.CodeOverloaded, "", "queue is full")
	overloaded.RetryAfter = 1001
	cases := map[string]struct {
		call    string
		stubs   stubs
		status  int
		outcome api.Outcome
		after   string
	}{
		"answered":               {"POST /v1/requests", stubs{}, 200, api.Answered, ""},
		"not run":                {"POST /v1/requests", stubs{request: answer(api.NotRun)}, 503, api.NotRun, ""},
		"failed":                 {"POST /v1/requests", stubs{request: answer(api.Failed)}, 502, api.Failed, ""},
		"unknown":                {"POST /v1/requests", stubs{request: answer(api.Unknown)}, 504, api.Unknown, ""},
		"overloaded":             {"POST /v1/requests", stubs{request: func() (api.Answer, *api.Problem) { return api.Answer{}, overloaded }}, 429, api.NotRun, "2"},
		"impossible":             {"POST /v1/jobs", stubs{createErr: fmt.Errorf("x: %w", dispatch.ErrImpossible)}, 422, api.NotRun, ""},
		"queue full":             {"POST /v1/jobs", stubs{createErr: fmt.Errorf("x: %w", queue.ErrFull)}, 429, api.NotRun, "1"},
		"not recorded":           {"POST /v1/jobs", stubs{createErr: job.ErrNotRecorded}, 503, api.NotRun, "1"},
		"record outcome unknown": {"POST /v1/jobs", stubs{createErr: job.ErrUnknownOutcome}, 503, api.Unknown, "1"},
		"other error":            {"POST /v1/jobs", stubs{createErr: errors.New("x")}, 500, api.Unknown, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			body := spec("")
			if strings.HasSuffix(c.call, "jobs") {
				body = `{"team":"a","queue":"plans","tasks":8}`
			}
			w := c.stubs.send(t, c.call, testSecret, body)
			var got struct {
				Outcome api.Outcome `json:"outcome"`
			}
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || got.Outcome != c.outcome || w.Header().Get("Retry-After") != c.after {
				t.Errorf("got status %d, outcome %q, retry-after %q", w.Code, got.Outcome, w.Header().Get("Retry-After"))
			}
		})
	}
}

// Guards against refusing work for open queues while the configuration isn't confirmed as current.
func TestOpenQueueNeedsNoKeyAndNoFreshness(t *testing.T) {
	f := stubs{staleBundle: true}
	if w := f.send(t, "POST /v1/requests", "", `{"team":"a","queue":"open"}`); w.Code != http.StatusOK || f.submissions != 1 {
		t.Errorf("got status %d: %s", w.Code, w.Body)
	}
}

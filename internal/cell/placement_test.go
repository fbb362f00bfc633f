package cell

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// Guards against queries that are taken for others, and against bodies without bound.
func TestDecodeQuery(t *testing.T) {
	for name, c := range map[string]struct {
		method, target, body, want string
	}{
		"job":              {http.MethodGet, "/?job=a&step=2&occurrence=1", "", "job a occurrence 1 step 2, 0 steps"},
		"escaped job":      {http.MethodGet, "/?job=a%2F%26b", "", "job a/&b, 0 steps"},
		"queue":            {http.MethodGet, "/?queue=q&team=t&tasks=3&milli-cpu=1500&gpus=2", "", "queue q team t, 3 tasks of {1500 0 2 0 0}"},
		"unknown name":     {http.MethodGet, "/?queue=q&size=3", "", `unknown parameter "size"`},
		"no number":        {http.MethodGet, "/?queue=q&tasks=x", "", "tasks must be a number"},
		"negative number":  {http.MethodGet, "/?queue=q&tasks=-1", "", "tasks must be a number"},
		"large number":     {http.MethodGet, "/?queue=q&tasks=99999999999", "", "tasks must be a number"},
		"wrong escaping":   {http.MethodGet, "/?job=%zz", "", "invalid URL escape"},
		"body":             {http.MethodPost, "/", `{"queue":"q","team":"t","steps":[{"count":3,"demand":{"gpus":1}}]}`, "queue q team t, 3 tasks of {0 0 1 0 0}"},
		"empty body":       {http.MethodPost, "/", "", "EOF"},
		"unknown field":    {http.MethodPost, "/", `{"size":1}`, "unknown field"},
		"body without end": {http.MethodPost, "/", `{"queue":"` + strings.Repeat("x", maxQueryBytes), "too large"},
	} {
		t.Run(name, func(t *testing.T) {
			query, err := decodeQuery(httptest.NewRecorder(), httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
			if err != nil {
				if !strings.Contains(err.Error(), c.want) || queryStatus(err) != http.StatusBadRequest {
					t.Errorf("got %v, want %s", err, c.want)
				}
				return
			}
			var text string
			if query.Job != "" {
				text = "job " + string(query.Job)
			} else {
				text = fmt.Sprintf("queue %s team %s", query.Queue, query.Team)
			}
			if query.Occurrence != nil {
				text += fmt.Sprintf(" occurrence %d", *query.Occurrence)
			}
			if query.Step != nil {
				text += fmt.Sprintf(" step %d", *query.Step)
			}
			if len(query.Steps) == 1 {
				text += fmt.Sprintf(", %d tasks of {%d %d %d 0 0}", query.Steps[0].Count, query.Steps[0].Demand.CPU, query.Steps[0].Demand.Memory, query.Steps[0].Demand.GPUs)
			} else {
				text += fmt.Sprintf(", %d steps", len(query.Steps))
			}
			if text != c.want {
				t.Errorf("got %s, want %s", text, c.want)
			}
		})
	}
}

// Guards against queries that take the leader's time without bound.
func TestPlacementQueriesAreLimited(t *testing.T) {
	d := startDaemon(t, txstore.New(time.Now), time.Hour)
	for deadline := time.Now().Add(5 * time.Second); !d.coordinator.Dump("").Leading; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon doesn't lead")
		}
	}
	statuses := map[int]int{}
	for range 50 {
		status, _ := d.call(t, http.MethodGet, "/explain-placement?job=a")
		statuses[status]++
	}
	if statuses[http.StatusNotFound] < 5 || statuses[http.StatusTooManyRequests] < 1 || len(statuses) != 2 {
		t.Errorf("statuses %v, want %d at first and then %d", statuses, http.StatusNotFound, http.StatusTooManyRequests)
	}
}

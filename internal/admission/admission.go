// Package admission decides which jobs beyond their team's weight are rejected because they would be served too late. It has no clock and
// does no I/O.
package admission

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// MaxAge is the age up to which a statement is used: a burst of releases drains a backlog within seconds.
	MaxAge = time.Second
	// Margin is the factor by which the predicted wait has to exceed the last useful time, as the rate of the next seconds may be higher.
	Margin = 1.5
	// MaxForecasts bounds a statement; each forecast takes some 100 bytes of a reply.
	MaxForecasts = 32
	// MinRetryAfter is the shortest wait that a rejection asks for.
	MinRetryAfter = time.Second
	// MaxRetryAfter bounds it: a forecast says little about a later time.
	MaxRetryAfter = 30 * time.Second
	// maxSpread is the largest factor that spreads retries.
	maxSpread = 1.5
)

// Forecast states that new jobs of a team that has used up its weight would be served too late in a queue.
type Forecast struct {
	Team  ident.TeamID  `json:"team"`
	Queue ident.QueueID `json:"queue"`
	// Wait is the predicted time until a new job starts.
	Wait time.Duration `json:"wait"`
	// LastUseful is the longest time after which the result of a waiting job of the queue is of no use.
	LastUseful time.Duration `json:"last-useful"`
	// NextToken is the time until the team may submit a job within its weight again.
	NextToken time.Duration `json:"next-token"`
}

// Hopeless reports whether a job would start past its last useful time, with the margin.
func Hopeless(wait, lastUseful time.Duration) bool {
	return lastUseful > 0 && wait > convert.Scale(lastUseful, Margin)
}

// Statement holds the forecasts of a leader for jobs that it expects to be too late. Times count from when it was computed.
type Statement struct {
	Age       time.Duration `json:"age"` // when it was sent
	Forecasts []Forecast    `json:"forecasts"`
}

// Verdict is the decision on a job with its inputs.
type Verdict struct {
	Rejected   bool
	Age        time.Duration // of the statement
	Wait       time.Duration // from now on
	LastUseful time.Duration
	RetryAfter time.Duration
}

// Decide decides on a job by a statement of the given age. LastUseful is the job's own last useful time, by its estimates. Random is from
// [0, 1) and spreads the retries. A job without a matching forecast is accepted.
func (s Statement) Decide(age time.Duration, team ident.TeamID, queue ident.QueueID, lastUseful time.Duration, random float64) Verdict {
	v := Verdict{Age: age}
	if age < 0 || age > MaxAge {
		return v
	}
	for _, f := range s.Forecasts {
		if f.Team != team || f.Queue != queue {
			continue
		}
		v.Wait, v.LastUseful = max(f.Wait-age, 0), max(f.LastUseful, lastUseful)
		if age < f.NextToken && Hopeless(v.Wait, v.LastUseful) {
			v.Rejected, v.RetryAfter = true, retryAfter(v.Wait-v.LastUseful, random)
		}
		return v
	}
	return v
}

// retryAfter returns a time from the wait to maxSpread times it. The wait is bounded so that long ones are spread too.
func retryAfter(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, MinRetryAfter), convert.Scale(MaxRetryAfter, 1/maxSpread))
	return convert.Scale(wait, 1+(maxSpread-1)*random)
}

package coordinator

import (
	"testing"
	"time"
)

// TestPassPause guards against scheduling passes that take the processor from the handling of replies: on bensalem-quotes-large
// scale-1 passes took a quarter of an overloaded leader's processor time. It also guards against passes that are too rare to send the
// starts that an overloaded leader may send: on quiet-1 there were 15 to 25 passes a second, and the overload didn't end.
func TestPassPause(t *testing.T) {
	ms := time.Millisecond
	for name, c := range map[string]struct {
		took      time.Duration
		congested bool
		want      time.Duration
	}{
		"short pass":                {took: ms / 2, want: minPassPause},
		"long pass":                 {took: 5 * ms, want: 20 * ms},
		"very long pass":            {took: 30 * ms, want: maxPassPause},
		"long pass, congested":      {took: 5 * ms, congested: true, want: 20 * ms},
		"longer pass, congested":    {took: 20 * ms, congested: true, want: 80 * ms},
		"very long pass, congested": {took: 30 * ms, congested: true, want: maxCongestedPassPause},
	} {
		t.Run(name, func(t *testing.T) {
			if got := passPause(c.took, c.congested); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

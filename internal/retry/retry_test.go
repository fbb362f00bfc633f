package retry

import (
	"errors"
	"testing"
	"time"
)

func TestBudget(t *testing.T) {
	cases := map[string]struct {
		failure           string
		starts, requested int
		attempts, retries int
		granted           int
		last              error
	}{
		"burst": {
			failure:   "tasks of a lost rack that wait for tokens although nothing was retried before",
			requested: 60, attempts: 1, retries: 2, granted: 50, last: ErrBudgetExhausted,
		},
		"ratio": {
			failure: "retries that multiply the load when every task fails",
			starts:  1000, requested: 1001, attempts: 1, retries: 2, granted: 200, last: ErrBudgetExhausted,
		},
		"attempts": {
			failure:   "a task that is retried without end",
			requested: 1, attempts: 3, retries: 2, granted: 0, last: ErrNoAttemptsLeft,
		},
		"last attempt": {
			failure:   "a task that gets one retry less than allowed",
			requested: 1, attempts: 2, retries: 2, granted: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, err := NewBudget(BudgetConfig{})
			if err != nil {
				t.Fatal(err)
			}
			granted, tokens := 0, 0.0
			takeRetry := func() {
				if err = b.TakeRetry(c.attempts, c.retries); err == nil {
					granted++
				}
			}
			for i := range c.starts { // starts with an empty bucket, so that only the ratio grants retries
				if i == 0 {
					b.tokens = tokens
				}
				b.RecordStart()
				takeRetry()
			}
			for range c.requested - c.starts {
				takeRetry()
			}
			if granted != c.granted || !errors.Is(err, c.last) {
				t.Errorf("%d retries granted, last error %v; want %d and %v; this case guards against %s",
					granted, err, c.granted, c.last, c.failure)
			}
		})
	}
}

// TestBackoff guards against delays without jitter, delays that are too short, and delays above the maximum.
func TestBackoff(t *testing.T) {
	config := BackoffConfig{BaseDelay: time.Second, MaxDelay: 10 * time.Second, Seed: 1}
	a, _ := NewBackoff(config)
	b, _ := NewBackoff(config)
	for failures, fullDelay := range map[int]time.Duration{
		0: time.Second, 1: time.Second, 2: 2 * time.Second, 4: 8 * time.Second, 5: 10 * time.Second, 1000: 10 * time.Second,
	} {
		different := map[time.Duration]bool{}
		for range 100 {
			d := a.Delay(failures)
			if d != b.Delay(failures) {
				t.Fatal("two backoffs with the same seed return different delays")
			}
			if d < fullDelay/2 || d > fullDelay {
				t.Fatalf("delay %v after %d failures, want %v to %v", d, failures, fullDelay/2, fullDelay)
			}
			different[d] = true
		}
		if len(different) < 50 {
			t.Errorf("%d of 100 delays differ, want at least 50", len(different))
		}
	}
}

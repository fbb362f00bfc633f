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
			failure:   "a lost rack whose tasks wait for the budget although there were no retries before",
			requested: 60, attempts: 1, retries: 2, granted: 50, last: ErrBudgetExhausted,
		},
		"ratio": {
			failure: "retries that multiply the load of a fleet on which everything fails",
			starts:  1000, requested: 1001, attempts: 1, retries: 2, granted: 200, last: ErrBudgetExhausted,
		},
		"attempts": {
			failure:   "a task that is retried for ever",
			requested: 1, attempts: 3, retries: 2, granted: 0, last: ErrNoAttemptsLeft,
		},
		"last attempt": {
			failure:   "a retry less than allowed",
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
			for i := range c.starts { // the burst is used up before, so that the ratio is seen alone
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
				t.Errorf("%d retries, last %v; want %d, %v; guards against %s", granted, err, c.granted, c.last, c.failure)
			}
		})
	}
}

// TestBackoff guards against retries that come in step, too early, or later than the cap.
func TestBackoff(t *testing.T) {
	config := BackoffConfig{Base: time.Second, Cap: 10 * time.Second, Seed: 1}
	a, _ := NewBackoff(config)
	b, _ := NewBackoff(config)
	for failures, fullDelay := range map[int]time.Duration{
		0: time.Second, 1: time.Second, 2: 2 * time.Second, 4: 8 * time.Second, 5: 10 * time.Second, 1000: 10 * time.Second,
	} {
		different := map[time.Duration]bool{}
		for range 100 {
			d := a.Delay(failures)
			if d != b.Delay(failures) {
				t.Fatal("the same seed gives different delays")
			}
			if d < fullDelay/2 || d > fullDelay {
				t.Fatalf("%v after %d failures, want %v to %v", d, failures, fullDelay/2, fullDelay)
			}
			different[d] = true
		}
		if len(different) < 50 {
			t.Errorf("%d different delays of 100", len(different))
		}
	}
}

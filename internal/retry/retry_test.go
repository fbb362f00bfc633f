package retry

import (
	"errors"
	"testing"
	"time"
)

func TestBudget(t *testing.T) {
	cases := map[string]struct {
		guards            string
		starts, asked     int
		attempts, retries int
		granted           int
		last              error
	}{
		"burst": {
			guards: "a lost rack whose tasks wait for the budget although there were no retries before",
			asked:  60, attempts: 1, retries: 2, granted: 50, last: ErrBudget,
		},
		"ratio": {
			guards: "retries that multiply the load of a fleet on which everything fails",
			starts: 1000, asked: 1001, attempts: 1, retries: 2, granted: 200, last: ErrBudget,
		},
		"attempts": {
			guards: "a task that is retried for ever",
			asked:  1, attempts: 3, retries: 2, granted: 0, last: ErrAttempts,
		},
		"last attempt": {
			guards: "a retry less than allowed",
			asked:  1, attempts: 2, retries: 2, granted: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, err := NewBudget(BudgetConfig{})
			if err != nil {
				t.Fatal(err)
			}
			granted, tokens := 0, 0.0
			ask := func() {
				if err = b.Retry(c.attempts, c.retries); err == nil {
					granted++
				}
			}
			for i := range c.starts { // the burst is used up before, so that the ratio is seen alone
				if i == 0 {
					b.tokens = tokens
				}
				b.Started()
				ask()
			}
			for range c.asked - c.starts {
				ask()
			}
			if granted != c.granted || !errors.Is(err, c.last) {
				t.Errorf("%d retries, last %v; want %d, %v; guards against %s", granted, err, c.granted, c.last, c.guards)
			}
		})
	}
}

// TestBackoff guards against retries that come in step, too early, or later than the cap.
func TestBackoff(t *testing.T) {
	config := BackoffConfig{Base: time.Second, Cap: 10 * time.Second, Seed: 1}
	a, _ := NewBackoff(config)
	b, _ := NewBackoff(config)
	for failures, whole := range map[int]time.Duration{
		0: time.Second, 1: time.Second, 2: 2 * time.Second, 4: 8 * time.Second, 5: 10 * time.Second, 1000: 10 * time.Second,
	} {
		different := map[time.Duration]bool{}
		for range 100 {
			d := a.Delay(failures)
			if d != b.Delay(failures) {
				t.Fatal("the same seed gives different delays")
			}
			if d < whole/2 || d > whole {
				t.Fatalf("%v after %d failures, want %v to %v", d, failures, whole/2, whole)
			}
			different[d] = true
		}
		if len(different) < 50 {
			t.Errorf("%d different delays of 100", len(different))
		}
	}
}

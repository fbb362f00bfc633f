package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"unsafe"
)

// Guards against a tail that is learned from a few runs, that is forgotten, or that stays after an image has changed.
func TestSpread(t *testing.T) {
	addRuns := func(s *Spread, n, every int, long float64) {
		for i := range n {
			if every > 0 && i%every == 0 {
				s.Add(long)
			} else {
				s.Add(0.7 + 0.6*float64(i%10)/10)
			}
		}
	}
	for name, c := range map[string]struct {
		add    func(*Spread)
		tail   float64 // 0 means none
		longer bool
	}{
		"no run":                    {add: func(*Spread) {}},
		"no tail":                   {add: func(s *Spread) { addRuns(s, 5000, 0, 0) }},
		"too few runs":              {add: func(s *Spread) { addRuns(s, 99, 33, 7) }},
		"3 % with 7 times the work": {add: func(s *Spread) { addRuns(s, 5000, 33, 7) }, tail: 7},
		"below 1 %":                 {add: func(s *Spread) { addRuns(s, 5000, 200, 7) }},
		"tail that ended":           {add: func(s *Spread) { addRuns(s, 1000, 33, 7); addRuns(s, 5000, 0, 0) }},
		"all take longer":           {add: func(s *Spread) { addRuns(s, 1000, 33, 7); addRuns(s, 6, 1, 4) }, tail: 7, longer: true},
		"invalid ratios": {add: func(s *Spread) {
			addRuns(s, 5000, 33, 7)
			for _, x := range []float64{0, -1, math.NaN()} {
				s.Add(x)
			}
		}, tail: 7},
		"infinite": {add: func(s *Spread) { s.Add(math.Inf(1)) }},
	} {
		t.Run(name, func(t *testing.T) {
			var s Spread
			c.add(&s)
			tail, known := s.Tail()
			if known != (c.tail > 0) || math.Abs(tail-c.tail) > 0.15*c.tail {
				t.Errorf("tail %v, %v, want %v", tail, known, c.tail)
			}
			if s.TakesLonger() != c.longer {
				t.Errorf("takes longer: %v, want %v", s.TakesLonger(), c.longer)
			}
		})
	}
	if size := unsafe.Sizeof(Spread{}); size > 64 {
		t.Errorf("a spread takes %d bytes, want at most 64", size)
	}
}

// Guards against speeds that depend on a tail, on a few runs or on chance, and against extreme ones.
func TestSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		speed        float64
		runs         int
		longShare    float64
		lowest, most float64
	}{
		"usual":                         {speed: 1, runs: 500, lowest: 1, most: 1},
		"usual with a tail":             {speed: 1, runs: 500, longShare: 0.03, lowest: 1, most: 1},
		"faster":                        {speed: 1.3, runs: 500, lowest: 1.2, most: 1.4},
		"faster with a tail":            {speed: 1.3, runs: 500, longShare: 0.1, lowest: 1.16, most: 1.4},
		"slower":                        {speed: 0.7, runs: 500, lowest: 0.63, most: 0.77},
		"faster, too few runs":          {speed: 1.3, runs: 19, lowest: 1, most: 1},
		"difference below 15 %":         {speed: 1.08, runs: 500, lowest: 1, most: 1},
		"a faulty server isn't trusted": {speed: 0.1, runs: 500, lowest: MinSpeed, most: MinSpeed},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var s Speed
			for range c.runs {
				took := (0.7 + 0.6*random.Float64()) / c.speed
				if random.Float64() < c.longShare {
					took *= 7
				}
				s.Add(1 / took)
			}
			if f := s.Factor(); f < c.lowest || f > c.most {
				t.Errorf("speed %v, want %v to %v", f, c.lowest, c.most)
			}
		})
	}
}

// Guards against equal servers that seem to differ by chance: of 1,000, at most one in 50 may, although tasks are uneven by a third.
func TestEqualServersHaveNoSpeed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	wrong := 0
	for range 1000 {
		var s Speed
		for range 64 {
			s.Add(1 / (0.7 + 0.6*random.Float64()))
		}
		if s.Factor() != 1 {
			wrong++
		}
	}
	if wrong > 20 {
		t.Errorf("%d of 1000 equal servers seem to differ", wrong)
	}
}

// Guards against a speed that stays after a server has changed, and against invalid durations.
func TestSpeedFollowsServer(t *testing.T) {
	var s Speed
	changes := 0
	add := func(n int, ratio float64) {
		for range n {
			if s.Add(ratio) {
				changes++
			}
		}
	}
	add(100, 1.4)
	add(10, math.Inf(1))
	add(10, math.NaN())
	add(10, 0)
	if f := s.Factor(); f < 1.39 || f > 1.41 || changes != 1 || s.Runs() != 100 {
		t.Errorf("speed %v after %d changes and %d runs, want 1.4 after one and 100", f, changes, s.Runs())
	}
	add(100, 1)
	if s.Factor() != 1 || changes != 2 {
		t.Errorf("speed %v after %d changes, want 1 after two", s.Factor(), changes)
	}
}

package pastuse

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const halfLife = 4 * time.Hour

func near(a, b ShareSeconds) bool {
	return math.Abs(float64(a-b)) <= 1e-4*math.Max(1, math.Abs(float64(b)))
}

// Guards against a decay that depends on the steps in which time passes, and against steps of the clock that erase or raise use.
func TestDecay(t *testing.T) {
	cases := map[string]struct {
		steps []time.Duration
		want  ShareSeconds
	}{
		"half-life":                     {[]time.Duration{halfLife}, 500},
		"half-life in two steps":        {[]time.Duration{time.Hour, 3 * time.Hour}, 500},
		"no time":                       {[]time.Duration{0}, 1000},
		"step backwards":                {[]time.Duration{-24 * time.Hour}, 1000},
		"backwards and forwards":        {[]time.Duration{-halfLife, halfLife}, 500},
		"longest gap":                   {[]time.Duration{MaxGap}, 1000 * ShareSeconds(math.Exp2(-42))},
		"step forwards by ten years":    {[]time.Duration{10 * 365 * 24 * time.Hour}, 1000 * ShareSeconds(math.Exp2(-42))},
		"largest duration of the clock": {[]time.Duration{math.MaxInt64}, 1000 * ShareSeconds(math.Exp2(-42))},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := New(halfLife)
			l.Add("blue", Use{Total: 1000, Copies: 100, Discarded: 10})
			for _, d := range c.steps {
				l.Decay(d)
			}
			u := l.Use("blue")
			if !near(u.Total, c.want) || !near(u.Copies, c.want/10) || !near(u.Discarded, c.want/100) {
				t.Errorf("use is %+v, want a total of %v", u, c.want)
			}
		})
	}
}

// Guards against use that a wrong amount makes negative, unbounded or not a number, which would give its team a fixed place in the order.
func TestAddWrongAmounts(t *testing.T) {
	for name, x := range map[string]float64{
		"negative": -1, "not a number": math.NaN(), "infinite": math.Inf(1), "beyond the bound": 1e300,
	} {
		t.Run(name, func(t *testing.T) {
			l := New(halfLife)
			l.Add("blue", Use{Total: 7})
			l.Add("blue", Use{Total: ShareSeconds(x), Copies: ShareSeconds(x), Discarded: ShareSeconds(x)})
			l.Add("red", Use{Total: ShareSeconds(x)})
			if l.Use("blue") != (Use{Total: 7}) || l.Len() != 1 {
				t.Errorf("blue has used %+v, %d teams", l.Use("blue"), l.Len())
			}
		})
	}
}

// Guards against parts that exceed the total they belong to.
func TestPartsWithinTotal(t *testing.T) {
	l := New(halfLife)
	l.Add("blue", Use{Total: 10, Copies: 8, Discarded: 8})
	if u := l.Use("blue"); u != (Use{10, 8, 2}) {
		t.Errorf("use is %+v", u)
	}
}

// Guards against a ledger, a record or a decoded record that grows without bound, and against dropping teams with much use.
func TestBounds(t *testing.T) {
	for name, c := range map[string]struct {
		nameBytes, teams, atLeast int
	}{
		"many teams":      {10, 2000, MaxTeams},
		"very long names": {3000, 100, 10},
		"one huge name":   {MaxRecordBytes, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(halfLife)
			for i := range c.teams {
				id := ident.TeamID(fmt.Sprintf("t%04d", i) + strings.Repeat("x", c.nameBytes-5))
				l.Add(id, Use{Total: ShareSeconds(i + 1)})
			}
			most := l.Teams()[0]
			value, err := l.Encode(time.UnixMilli(0))
			if err != nil || len(value) > MaxRecordBytes {
				t.Fatalf("%d bytes, %v", len(value), err)
			}
			decoded, _, err := Decode(value, halfLife)
			if err != nil || decoded.Len() < c.atLeast || decoded.Len() > MaxTeams {
				t.Errorf("%d teams in the record, %v", decoded.Len(), err)
			}
			if c.atLeast > 0 && decoded.Use(most).Total != ShareSeconds(c.teams) {
				t.Errorf("the team with the most use has %+v", decoded.Use(most))
			}
			l.Decay(0)
			if l.Len() > MaxTeams {
				t.Errorf("%d teams in the ledger", l.Len())
			}
		})
	}
}

// Guards against a record that loses use, and against one that adds use when it is read again and again.
func TestRecordKeepsUse(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	l := New(halfLife)
	for i := range 110 {
		l.Add(ident.TeamID(fmt.Sprintf("team \"%d\"\n", i)), Use{
			Total: ShareSeconds(random.Float64() * 1e4), Copies: ShareSeconds(random.Float64()), Discarded: ShareSeconds(random.Float64()),
		})
	}
	at := time.UnixMilli(1_790_000_000_123)
	read := l
	for range 5 {
		value, err := read.Encode(at)
		if err != nil {
			t.Fatal(err)
		}
		var got time.Time
		if read, got, err = Decode(value, halfLife); err != nil || !got.Equal(at) {
			t.Fatalf("decoded a record of %v, %v", got, err)
		}
	}
	if read.Len() != l.Len() {
		t.Errorf("%d teams, want %d", read.Len(), l.Len())
	}
	for _, id := range l.Teams() {
		a, b := l.Use(id), read.Use(id)
		if !near(b.Total/a.Total, 1) || !near(a.Copies, b.Copies) || !near(a.Discarded, b.Discarded) {
			t.Errorf("%s: %+v became %+v", id, a, b)
		}
	}
}

// Guards against a takeover that fails, or takes use from a record that nobody wrote.
func TestDecodeBadRecords(t *testing.T) {
	for name, c := range map[string]struct {
		value string
		teams int
		fails bool
	}{
		"empty":               {"", 0, true},
		"no JSON":             {"{", 0, true},
		"another type":        {`{"teams":[1]}`, 0, true},
		"too many bytes":      {strings.Repeat(" ", MaxRecordBytes) + "{}", 0, true},
		"no teams":            {`{"at":5}`, 0, false},
		"negative use":        {`{"at":5,"teams":{"blue":[-5,0,0]}}`, 0, false},
		"more numbers":        {`{"at":5,"teams":{"blue":[5,0,0,7]}}`, 1, false},
		"fewer numbers":       {`{"at":5,"teams":{"blue":[5]}}`, 1, false},
		"another field":       {`{"at":5,"teams":{"blue":[5,0,0]},"later":true}`, 1, false},
		"use beyond a number": {`{"at":5,"teams":{"blue":[1e999,0,0]}}`, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, _, err := Decode([]byte(c.value), halfLife)
			if (err != nil) != c.fails || l.Len() != c.teams {
				t.Errorf("%d teams, %v", l.Len(), err)
			}
			l.Add("red", Use{Total: 1}) // an unreadable record gives a ledger that can be used
		})
	}
}

// Guards against a copy that shares its teams, so that an answer to an operator changes while it is written.
func TestClone(t *testing.T) {
	l := New(halfLife)
	l.Add("blue", Use{Total: 5})
	c := l.Clone()
	if !l.Reset("blue") || l.Reset("blue") {
		t.Error("reset must report whether there was use")
	}
	if l.Len() != 0 || c.Use("blue").Total != 5 {
		t.Errorf("%d teams left, the copy has %+v", l.Len(), c.Use("blue"))
	}
}

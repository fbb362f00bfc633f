package wire

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// FuzzSummary guards against a malformed body that causes a panic, and against a summary that changes when it is encoded
// and decoded.
func FuzzSummary(f *testing.F) {
	full := Summary{
		Full: true, Backlog: 1200, Version: 27000,
		Teams:       []TeamUsage{{Team: "team-001", Running: 59, Used: resource.Vector{CPU: 118_000, Memory: 241_664, Slots: 59}}},
		DataCentres: []DataCentreCapacity{{DataCentre: "sfax-a", Region: "sfax", Free: resource.Vector{CPU: -1, Slots: 7}, LargestHost: resource.Vector{GPUs: 8}}},
	}
	bodyOf := func(tb testing.TB, s Summary) []byte {
		text, err := json.Marshal(s)
		if err != nil {
			tb.Fatal(err)
		}
		var envelope summaryEnvelope
		if err := json.Unmarshal(text, &envelope); err != nil {
			tb.Fatal(err)
		}
		return envelope.Body
	}
	decode := func(tb testing.TB, body []byte) (Summary, error) {
		text, err := json.Marshal(summaryEnvelope{Sender{Member: "entry-1"}, body})
		if err != nil {
			tb.Fatal(err)
		}
		var s Summary
		err = json.Unmarshal(text, &s)
		return s, err
	}
	body := bodyOf(f, full)
	got, err := decode(f, body)
	if full.Sender = got.Sender; err != nil || full.Member != "entry-1" || !reflect.DeepEqual(got, full) {
		f.Fatalf("decoded %+v, %v, want %+v", got, err, full)
	}
	for n := range body { // every truncation, so that lengths and counts exceed the rest of the body
		if _, err := decode(f, body[:n]); err == nil {
			f.Fatalf("a body truncated to %d of %d bytes was decoded without an error", n, len(body))
		}
		f.Add(body[:n])
	}
	f.Add(body)
	f.Add(append([]byte{}, append(body, 0)...))
	f.Add([]byte{summaryFormatVersion, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := decode(t, body)
		if err != nil {
			return
		}
		again, err := decode(t, bodyOf(t, s))
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("%+v was decoded as %+v, error %v", s, again, err)
		}
	})
}

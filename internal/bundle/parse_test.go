package bundle

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
)

const validHash = "6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090"

const validYAML = `teams:
  - id: a
    share: 1
    limit: 4
    claim-region: sfax
    keys:
      - id: k
        hash: ` + validHash + `
queues:
  - id: q
    kind: batch
    teams: [a]
`

// Guards against refusal of a valid file in either format.
func TestParseAcceptsYAMLAndJSON(t *testing.T) {
	files := map[string]string{
		"yaml": validYAML,
		"json": "{\n\t\"teams\": [{\"id\": \"a\", \"share\": 1, \"limit\": 4, \"claim-region\": \"sfax\",\n\t\t\"keys\": [{\"id\": \"k\", \"hash\": \"" + validHash + "\"}]}],\n\t\"queues\": [{\"id\": \"q\", \"kind\": \"batch\", \"teams\": [\"a\"]}]\n}\n",
	}
	for name, data := range files {
		t.Run(name, func(t *testing.T) {
			b, err := Parse("file", []byte(data))
			if err != nil {
				t.Fatal(err)
			}
			if len(b.Teams) != 1 || b.Teams[0].Limit != 4 || b.Teams[0].Keys[0].Hash != validHash || b.Queues[0].Teams[0] != "a" {
				t.Errorf("parsed as %+v", b)
			}
		})
	}
}

// Guards against invalid bundles that are accepted, or reported without file, line and field. Every problem is listed.
func TestParseRejectsInvalidFiles(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			data := d.Input
			if d.Cmd == "replace" {
				before, after, _ := strings.Cut(d.Input, "\n=>")
				if !strings.Contains(validYAML, before) {
					t.Fatalf("%q doesn't occur in validYAML", before)
				}
				data = strings.Replace(validYAML, before, strings.TrimPrefix(after, "\n"), 1)
			}
			_, err := Parse("f.yaml", []byte(data))
			return fmt.Sprint(err)
		})
	})
}

// Guards against files that exceed the bounds of size and nesting.
func TestParseLimitsSizeAndNesting(t *testing.T) {
	cases := map[string]struct{ data, want string }{
		"too large":          {strings.Repeat(" ", MaxFileBytes+1), "f.yaml:1: 8388609 bytes, at most 8388608 allowed"},
		"deep nesting":       {strings.Replace(validYAML, "[a]", strings.Repeat("[", 10_000), 1), "f.yaml:12: nested deeper than 16 levels"},
		"deep block nesting": {strings.Replace(validYAML, "[a]", "\n    "+strings.Repeat("- ", 10_000), 1), "f.yaml:13: nested deeper than 16 levels"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse("f.yaml", []byte(c.data)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Guards against a parser that stops at the first problem, so that an operator has to run the check once per mistake.
func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse("f.yaml", []byte("teams:\n- {id: a, share: 0, limit: -1, claim-region: x}\nqueues:\n- {id: q, kind: cron}\n"))
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 3 {
		t.Fatalf("got %v", err)
	}
	for _, p := range problems {
		if p.File != "f.yaml" || p.Line == 0 || p.Field == "" {
			t.Errorf("incomplete problem %+v", p)
		}
	}
}

// Guards against log output of a secret that was pasted into a wrong field.
func TestProblemsHideSecrets(t *testing.T) {
	const secret = "rsk_Zm9vYmFyYmF6cXV4MTIzNDU2Nzg5"
	cases := map[string]struct{ old, new string }{
		"in place of a hash":     {validHash, secret},
		"in place of two hashes": {"hash: " + validHash, "hash: " + secret + "\n      - {id: l, hash: " + secret + "}"},
		"in a key id":            {"id: k", "id: " + secret + " x"},
		"as a field name":        {"id: k", "id: k\n        " + secret + ": x"},
		"as a team id":           {"teams: [a]", "teams: [" + secret + "]"},
		"unclosed list":          {"hash: " + validHash, "hash: [" + secret},
		"unclosed quote":         {"hash: " + validHash, `hash: "` + secret},
		"in place of a number":   {"share: 1", "share: " + secret},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.yaml", []byte(strings.Replace(validYAML, c.old, c.new, 1)))
			if err == nil || strings.Contains(err.Error(), secret[4:12]) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against bounds that are too low for the number of teams and keys expected in two years.
func TestParseAccepts110TeamsWith300Keys(t *testing.T) {
	data := encode(largeBundle(110, 300))
	b, err := Parse("large.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Teams) != 110 || len(b.Teams[109].Keys) != 300 {
		t.Errorf("%d teams", len(b.Teams))
	}
	t.Logf("%d bytes of at most %d", len(data), MaxFileBytes)
}

// largeBundle returns a bundle with the given numbers of teams and keys per team, and with 40 queues.
func largeBundle(teams, keys int) Bundle {
	var b Bundle
	for i := range teams {
		team := Team{ID: teamID(i), Share: 1 + i, Limit: 400, ClaimRegion: "sfax"}
		for k := range keys {
			team.Keys = append(team.Keys, Key{ID: fmt.Sprintf("key-%d", k), Hash: HashSecret(fmt.Sprintf("secret-%d-%d", i, k))})
		}
		b.Teams = append(b.Teams, team)
	}
	for i := range 40 {
		b.Queues = append(b.Queues, Queue{ID: queueID(i), Kind: api.KindBatch, Open: i == 0, Retries: 3})
	}
	return b
}

// Guards against example files that the parser refuses or that don't use every kind of work.
func TestExamples(t *testing.T) {
	for _, name := range []string{"bensalem.yaml", "sample-exchange.yaml"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			b, err := Parse(name, data)
			if err != nil {
				t.Fatal(err)
			}
			kinds, open, urgent := map[api.Kind]bool{}, 0, 0
			for _, q := range b.Queues {
				kinds[q.Kind] = true
				if q.Open {
					open++
				}
				if q.Urgent {
					urgent++
				}
			}
			if len(b.Teams) != 6 || len(kinds) != 4 || open != 1 || urgent != 1 {
				t.Errorf("%d teams, kinds %v, %d open and %d urgent queues", len(b.Teams), kinds, open, urgent)
			}
			for _, team := range b.Teams {
				for _, k := range team.Keys {
					if k.Hash != HashSecret("demo-"+string(team.ID)+"-"+k.ID) {
						t.Errorf("key %s of %s doesn't have the secret that the README names", k.ID, team.ID)
					}
				}
			}
		})
	}
}

// Guards against panics, and against accepted bundles that Split and Join don't reproduce.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"bensalem.yaml", "sample-exchange.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{
		validYAML, "", "{", "teams: [", "- - - -", "a: &a [*a]", "teams:\n\t- x", "{\"teams\":[],\"queues\":[]}", "? x\n: y",
		"teams: !!set {}", "%YAML 1.2\n---\n", "teams: |\n  x", "\xff\xfe", "teams: 'x", "<<: {}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("fuzz", data)
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) || slices.ContainsFunc(problems, func(p Problem) bool { return p.Line < 1 }) {
				t.Fatalf("problem without a line: %v", err)
			}
			return
		}
		joined, err := Join(Split(b))
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(b, joined); len(changes) != 0 || Validate(joined) != nil {
			t.Fatalf("Split and Join changed the bundle: %v", changes)
		}
	})
}

package bundle

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
)

const goodHash = "6ca13d52ca70c883e0f0bb101e425a89e8624de51db2d2392593af6a84118090"

const goodYAML = `teams:
  - id: a
    share: 1
    limit: 4
    claim-region: sfax
    keys:
      - id: k
        hash: ` + goodHash + `
queues:
  - id: q
    kind: batch
    teams: [a]
`

// Guards against a sound file being refused in either format.
func TestParseAccepts(t *testing.T) {
	files := map[string]string{
		"yaml": goodYAML,
		"json": "{\n\t\"teams\": [{\"id\": \"a\", \"share\": 1, \"limit\": 4, \"claim-region\": \"sfax\",\n\t\t\"keys\": [{\"id\": \"k\", \"hash\": \"" + goodHash + "\"}]}],\n\t\"queues\": [{\"id\": \"q\", \"kind\": \"batch\", \"teams\": [\"a\"]}]\n}\n",
	}
	for name, data := range files {
		t.Run(name, func(t *testing.T) {
			b, err := Parse("file", []byte(data))
			if err != nil {
				t.Fatal(err)
			}
			if len(b.Teams) != 1 || b.Teams[0].Limit != 4 || b.Teams[0].Keys[0].Hash != goodHash || b.Queues[0].Teams[0] != "a" {
				t.Errorf("parsed as %+v", b)
			}
		})
	}
}

// Guards against wrong bundles being accepted or reported without file, line and field.
func TestParseRefuses(t *testing.T) {
	// Each case replaces a part of goodYAML.
	cases := map[string]struct{ old, new, want string }{
		"unknown field":         {"share: 1", "share: 1\n    colour: red", "f.yaml:4: teams[0].colour: unknown field"},
		"unknown field at top":  {"queues:", "extras: []\nqueues:", "f.yaml:9: extras: unknown field"},
		"not kebab case":        {"claim-region", "claim_region", "f.yaml:5: teams[0].claim_region: unknown field"},
		"field given twice":     {"share: 1", "share: 1\n    share: 2", "f.yaml:4: teams[0].share: field is given twice"},
		"missing field":         {"    limit: 4\n", "", "f.yaml:2: teams[0].limit: field is missing"},
		"quoted number":         {"share: 1", `share: "1"`, "f.yaml:3: teams[0].share: must be a whole number"},
		"fraction":              {"share: 1", "share: 1.5", "f.yaml:3: teams[0].share: must be a whole number"},
		"number for a string":   {"id: a", "id: 7", "f.yaml:2: teams[0].id: must be a string"},
		"null":                  {"claim-region: sfax", "claim-region:", "f.yaml:5: teams[0].claim-region: must be a string"},
		"string for a boolean":  {"kind: batch", "kind: batch\n    open: \"yes\"", "f.yaml:12: queues[0].open: must be true or false"},
		"list for an object":    {"kind: batch", "kind: batch\n    max-demand: []", "f.yaml:12: queues[0].max-demand: must be an object"},
		"object for a list":     {"teams: [a]", "teams: {a: b}", "f.yaml:12: queues[0].teams: must be a list"},
		"no share":              {"share: 1", "share: 0", "f.yaml:3: teams[0].share: 0 is outside 1 to 1000000"},
		"negative limit":        {"limit: 4", "limit: -4", "f.yaml:4: teams[0].limit: -4 is outside 0 to 10000000"},
		"limit above bound":     {"limit: 4", "limit: 10000001", "f.yaml:4: teams[0].limit: 10000001 is outside"},
		"limit above 63 bits":   {"limit: 4", "limit: 9223372036854775808", "f.yaml:4: teams[0].limit: number is too large"},
		"limit above 64 bits":   {"limit: 4", "limit: 99999999999999999999999", "f.yaml:4: teams[0].limit: number is too large"},
		"negative beyond 64":    {"limit: 4", "limit: -99999999999999999999999", "f.yaml:4: teams[0].limit: number is too large"},
		"negative demand":       {"kind: batch", "kind: batch\n    max-demand: {gpus: -1}", "f.yaml:12: queues[0].max-demand.gpus: -1 is outside"},
		"demand overflows":      {"kind: batch", "kind: batch\n    max-demand: {milli-cpu: 9223372036854775807}", "f.yaml:12: queues[0].max-demand.milli-cpu: 9223372036854775807 is outside"},
		"demand's unknown kind": {"kind: batch", "kind: batch\n    max-demand: {disk: 1}", "f.yaml:12: queues[0].max-demand.disk: unknown field"},
		"deadline above bound":  {"kind: batch", "kind: batch\n    deadline-ms: 600001", "f.yaml:12: queues[0].deadline-ms: 600001 is outside 0 to 600000"},
		"priority above bound":  {"kind: batch", "kind: batch\n    priority: 101", "f.yaml:12: queues[0].priority: 101 is outside 0 to 100"},
		"unknown kind":          {"kind: batch", "kind: cron", "f.yaml:11: queues[0].kind: must be one of request, service, batch, all-at-once"},
		"unknown team":          {"teams: [a]", "teams: [a, b]", "f.yaml:12: queues[0].teams[1]: unknown team"},
		"team listed twice":     {"teams: [a]", "teams:\n    - a\n    - a", "f.yaml:14: queues[0].teams[1]: listed twice"},
		"open with teams":       {"kind: batch", "kind: batch\n    open: true", "f.yaml:13: queues[0].teams: an open queue takes work from every team"},
		"duplicate team":        {"queues:", "  - {id: a, share: 1, limit: 1, claim-region: x}\nqueues:", "f.yaml:9: teams[1].id: duplicate of teams[0]"},
		"duplicate queue":       {"    teams: [a]", "  - id: q\n    kind: batch", "f.yaml:12: queues[1].id: duplicate of queues[0]"},
		"duplicate key":         {"queues:", "      - {id: k, hash: " + strings.Repeat("ab", 32) + "}\nqueues:", "f.yaml:9: teams[0].keys[1].id: duplicate key id"},
		"same hash twice":       {"queues:", "      - {id: l, hash: " + goodHash + "}\nqueues:", "f.yaml:9: teams[0].keys[1].hash: the same hash"},
		"wrong id":              {"id: a", "id: a b", "f.yaml:2: teams[0].id: must start with a letter or digit"},
		"empty id":              {"id: q", `id: ""`, "f.yaml:10: queues[0].id: must not be empty"},
		"long id":               {"id: a", "id: " + strings.Repeat("a", 97), "f.yaml:2: teams[0].id: 97 bytes, at most 96 allowed"},
		"anchor":                {"share: 1", "share: &x 1", "f.yaml:3: anchors, aliases"},
		"tag":                   {"share: 1", "share: !!int 1", "f.yaml:3: anchors, aliases"},
		"two documents":         {"queues:", "---\nqueues:", "must hold one document, found 2"},
		"broken syntax":         {"teams: [a]", "teams: [a", "f.yaml:12: sequence end token ']' not found"},
		"deep nesting":          {"teams: [a]", "teams: " + strings.Repeat("[", 10_000), "f.yaml:12: nested deeper than 16 levels"},
		"deep block nesting":    {"teams: [a]", "teams:\n    " + strings.Repeat("- ", 10_000), "f.yaml:13: nested deeper than 16 levels"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(goodYAML, c.old) {
				t.Fatalf("%q isn't part of the file", c.old)
			}
			_, err := Parse("f.yaml", []byte(strings.Replace(goodYAML, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Guards against files without content, wrong top levels and files above the bound.
func TestParseRefusesWholeFiles(t *testing.T) {
	cases := map[string]struct{ data, want string }{
		"empty":     {"", "f.yaml:1: must hold one document, found 0"},
		"comment":   {"# nothing\n", "f.yaml:1: must hold one document, found 0"},
		"scalar":    {"42", "f.yaml:1: must be an object"},
		"list":      {"[]", "f.yaml:1: must be an object"},
		"no queues": {"teams: []", "f.yaml:1: queues: field is missing"},
		"json":      {"{\n \"teams\": [],\n \"queues\": [{}]}", "f.yaml:3: queues[0].id: field is missing"},
		"too large": {strings.Repeat(" ", MaxFileBytes+1), "f.yaml:1: 8388609 bytes, at most 8388608 allowed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse("f.yaml", []byte(c.data)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// Guards against stopping at the first problem, which makes an operator run the check once per mistake.
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

// Guards against a secret that was pasted into a wrong place being printed into logs.
func TestProblemsHideSecrets(t *testing.T) {
	const secret = "rsk_Zm9vYmFyYmF6cXV4MTIzNDU2Nzg5"
	cases := map[string]struct{ old, new string }{
		"as hash":       {goodHash, secret},
		"as hash twice": {"hash: " + goodHash, "hash: " + secret + "\n      - {id: l, hash: " + secret + "}"},
		"as key id":     {"id: k", "id: " + secret + " x"},
		"as field":      {"id: k", "id: k\n        " + secret + ": x"},
		"as team":       {"teams: [a]", "teams: [" + secret + "]"},
		"bad syntax":    {"hash: " + goodHash, "hash: [" + secret},
		"bad quoting":   {"hash: " + goodHash, `hash: "` + secret},
		"as a number":   {"share: 1", "share: " + secret},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f.yaml", []byte(strings.Replace(goodYAML, c.old, c.new, 1)))
			if err == nil || strings.Contains(err.Error(), secret[4:12]) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against bounds that the size in two years doesn't fit into.
func TestParseHolds110TeamsWithHundredsOfKeys(t *testing.T) {
	data := encode(large(110, 300))
	b, err := Parse("large.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Teams) != 110 || len(b.Teams[109].Keys) != 300 {
		t.Errorf("%d teams", len(b.Teams))
	}
	t.Logf("%d bytes of at most %d", len(data), MaxFileBytes)
}

// large returns a bundle with teams, keys per team and 40 queues.
func large(teams, keys int) Bundle {
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

// Guards against examples that the parser refuses or that lack a kind of work.
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

// Guards against panics and against bundles that are accepted but can't be split and joined.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"bensalem.yaml", "sample-exchange.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{
		goodYAML, "", "{", "teams: [", "- - - -", "a: &a [*a]", "teams:\n\t- x", "{\"teams\":[],\"queues\":[]}", "? x\n: y",
		"teams: !!set {}", "%YAML 1.2\n---\n", "teams: |\n  x", "\xff\xfe", "teams: 'x", "<<: {}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("fuzz", data)
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) || slices.ContainsFunc(problems, func(p Problem) bool { return p.Line < 1 }) {
				t.Fatalf("not located: %v", err)
			}
			return
		}
		joined, err := Join(Split(b))
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(b, joined); len(changes) != 0 || Validate(joined) != nil {
			t.Fatalf("not the same after split and join: %v", changes)
		}
	})
}

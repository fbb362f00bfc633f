package bundle

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func teamID(i int) ident.TeamID   { return ident.TeamID(fmt.Sprintf("team-%03d", i)) }
func queueID(i int) ident.QueueID { return ident.QueueID(fmt.Sprintf("queue-%02d", i)) }

// Guards against admission of work without the team's key, and refusal of work with it.
func TestAuthorize(t *testing.T) {
	b := Bundle{
		Teams: []Team{{ID: "a", Share: 2, Limit: 5, ClaimRegion: "x"}, {ID: "b", Share: 1, Limit: 1, ClaimRegion: "x"}},
		Queues: []Queue{
			{ID: "closed", Kind: "batch"},
			{ID: "only-a", Kind: "batch", Teams: []ident.TeamID{"a"}},
			{ID: "open", Kind: "request", Open: true},
		},
	}
	b, secretA, err := GrantKey(b, "a", "one")
	if err != nil {
		t.Fatal(err)
	}
	b, secretB, err := GrantKey(b, "b", "one")
	if err != nil {
		t.Fatal(err)
	}
	withdrawn, err := WithdrawKey(b, "a", "one")
	if err != nil {
		t.Fatal(err)
	}
	before, after := Compile(b, 1), Compile(withdrawn, 2)
	cases := map[string]struct {
		at     *Compiled
		team   ident.TeamID
		queue  ident.QueueID
		secret string
		want   error
	}{
		"team's own key":         {before, "a", "closed", secretA, nil},
		"key of another team":    {before, "a", "closed", secretB, ErrKeyRefused},
		"no key":                 {before, "a", "closed", "", ErrKeyRefused},
		"hash instead of secret": {before, "a", "closed", HashSecret(secretA), ErrKeyRefused},
		"truncated key":          {before, "a", "closed", secretA[:len(secretA)-1], ErrKeyRefused},
		"key too long":           {before, "a", "closed", strings.Repeat("x", MaxSecretBytes+1), ErrKeyRefused},
		"open queue, no key":     {before, "a", "open", "", nil},
		"open queue, wrong key":  {before, "b", "open", "nonsense", nil},
		"unknown team, open":     {before, "c", "open", "", ErrUnknownTeam},
		"unknown team":           {before, "c", "closed", secretA, ErrUnknownTeam},
		"unknown queue":          {before, "a", "none", secretA, ErrUnknownQueue},
		"allowed team":           {before, "a", "only-a", secretA, nil},
		"team not allowed":       {before, "b", "only-a", secretB, ErrTeamNotAllowed},
		"not allowed, no key":    {before, "b", "only-a", "", ErrKeyRefused},
		"withdrawn key":          {after, "a", "closed", secretA, ErrKeyRefused},
		"key not withdrawn":      {after, "b", "closed", secretB, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := c.at.Authorize(c.team, c.queue, c.secret); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	if before.Limit("a") != 5 || before.Share("a") != 2 || before.Limit("c") != 0 || len(before.Teams()) != 2 {
		t.Error("a lookup of a limit, a share or the teams returned a wrong value")
	}
	for _, team := range before.Teams() {
		if team.Keys != nil {
			t.Error("a lookup returns key hashes")
		}
	}
}

// Guards against a grant or withdrawal of a key that changes the wrong team or key, or modifies the given bundle.
func TestKeyChangesRejectInvalidRequests(t *testing.T) {
	b := largeBundle(2, 1)
	if _, _, err := GrantKey(b, "none", "x"); !errors.Is(err, ErrUnknownTeam) {
		t.Errorf("got %v", err)
	}
	if _, secret, err := GrantKey(b, teamID(0), "key-0"); err == nil || secret != "" {
		t.Errorf("got %v for a key id that already exists", err)
	}
	if _, err := WithdrawKey(b, teamID(0), "none"); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("got %v", err)
	}
	granted, secret, err := GrantKey(b, teamID(0), "new")
	if err != nil || len(b.Teams[0].Keys) != 1 || len(granted.Teams[0].Keys) != 2 {
		t.Errorf("the given bundle was modified: %v", err)
	}
	if dump := fmt.Sprintf("%+v", granted); strings.Contains(dump, secret) {
		t.Error("the bundle holds the secret")
	}
}

// Guards against changes that a diff doesn't show to operators, and against key hashes in a diff.
func TestDiff(t *testing.T) {
	b := largeBundle(3, 2)
	reordered := Bundle{Teams: slices.Clone(b.Teams), Queues: slices.Clone(b.Queues)}
	slices.Reverse(reordered.Teams)
	slices.Reverse(reordered.Queues)
	if changes := Diff(b, reordered); len(changes) != 0 {
		t.Errorf("another order was reported as a change: %v", changes)
	}
	after, _, err := GrantKey(b, teamID(1), "new")
	if err != nil {
		t.Fatal(err)
	}
	after.Teams[0].Limit = 7
	after.Teams = slices.Delete(after.Teams, 2, 3)
	after.Queues = append(slices.Clone(after.Queues), Queue{ID: "z", Kind: "service"})
	want := []string{
		"removed keys/team-002", "changed keys/team-001 key new added", "added queue/z", "removed team/team-002",
		"changed team/team-000 limit: 400 -> 7",
	}
	var got []string
	for _, c := range Diff(b, after) {
		got = append(got, c.String())
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	after.Teams[1].ClaimRegion = "tunis"
	if err := CheckClaimRegions(b, after); !errors.Is(err, ErrClaimRegionChanged) {
		t.Errorf("claim region changed: %v", err)
	}
}

// Guards against a removed team whose claim region is lost, that stays retired after it was added again, or that displaces a
// team removed later.
func TestRetire(t *testing.T) {
	fullList := make([]Retired, MaxRetired)
	for i := range fullList {
		fullList[i] = Retired{ID: ident.TeamID(fmt.Sprintf("old-%04d", i)), ClaimRegion: "x", Since: 1}
	}
	team := Team{ID: "a", ClaimRegion: "sfax"}
	retired := Retired{ID: "a", ClaimRegion: "sfax", Since: 3}
	cases := map[string]struct {
		before Bundle
		after  []Team
		want   []Retired // the first ones
		total  int
	}{
		"removed now":          {Bundle{Teams: []Team{team}}, nil, []Retired{retired}, 1},
		"still present":        {Bundle{Teams: []Team{team}}, []Team{team}, nil, 0},
		"removed earlier":      {Bundle{Retired: []Retired{retired}}, nil, []Retired{retired}, 1},
		"added again":          {Bundle{Retired: []Retired{retired}}, []Team{team}, nil, 0},
		"more than MaxRetired": {Bundle{Teams: []Team{team}, Retired: fullList}, nil, []Retired{retired}, MaxRetired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next := Bundle{Teams: c.after, Retired: Retire(c.before, Bundle{Teams: c.after}, 3)}
			if len(next.Retired) != c.total || !slices.Equal(next.Retired[:len(c.want)], c.want) {
				t.Fatalf("got %d retired teams", len(next.Retired))
			}
			joined, err := Join(Split(next))
			if err != nil || len(joined.Retired) != c.total {
				t.Fatalf("%d retired teams after Split and Join: %v", len(joined.Retired), err)
			}
			if region, ok := Compile(joined, 3).ClaimRegion("a"); !ok || region != "sfax" {
				t.Errorf("claim region %q", region)
			}
			moved := Bundle{Teams: []Team{{ID: "a", ClaimRegion: "tunis"}}}
			if err := CheckClaimRegions(joined, moved); !errors.Is(err, ErrClaimRegionChanged) {
				t.Errorf("added again in another region: %v", err)
			}
		})
	}
}

// Guards against segments whose content is invalid or belongs to another segment.
func TestJoinRejectsInvalidSegments(t *testing.T) {
	cases := map[string]func(map[string][]byte){
		"keys without team":       func(s map[string][]byte) { delete(s, "team/team-000") },
		"content of another team": func(s map[string][]byte) { s["team/team-000"] = s["team/team-001"] },
		"another retired team":    func(s map[string][]byte) { s["retired/x"] = []byte(`{"id":"y","claim-region":"x","since":1}`) },
		"unknown kind":            func(s map[string][]byte) { s["limit/x"] = []byte("{}") },
		"unknown field":           func(s map[string][]byte) { s["queue/queue-00"] = []byte(`{"id":"queue-00","cost":1}`) },
		"keys inside a team":      func(s map[string][]byte) { s["team/team-000"] = []byte(`{"id":"team-000","keys":[]}`) },
		"trailing data":           func(s map[string][]byte) { s["queue/queue-00"] = append(s["queue/queue-00"], '1') },
		"wrong type":              func(s map[string][]byte) { s["keys/team-000"] = []byte(`[{"id":"k","hash":17}]`) },
		"truncated content":       func(s map[string][]byte) { s["keys/team-000"] = s["keys/team-000"][:9] },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			segments := Split(largeBundle(2, 1))
			change(segments)
			if _, err := Join(segments); !errors.Is(err, ErrInvalidSegment) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against an index that is accepted although a part of it was changed, and against two encodings of one index.
func TestIndexDetectsTampering(t *testing.T) {
	segments := Split(largeBundle(20, 2))
	index := NewIndex(5, 4, segments)
	index.Writer, index.Nonce = "m1", "n1"
	root := index.Encode()
	decoded, err := DecodeRoot(root)
	if err != nil || !bytes.Equal(decoded.Encode(), root) {
		t.Fatalf("decoded root has another encoding: %v", err)
	}
	if _, err := decoded.Complete(index.Entries); err != nil {
		t.Fatal(err)
	}
	swapped := slices.Clone(index.Entries)
	swapped[0].Hash, swapped[1].Hash = swapped[1].Hash, swapped[0].Hash
	lists := map[string][]Entry{
		"swapped hashes": swapped, "missing": index.Entries[1:], "added": append(slices.Clone(index.Entries), Entry{"team/x", "y"}),
		"duplicate entry": append(slices.Clone(index.Entries), index.Entries[0]), "no entries": nil,
	}
	for name, entries := range lists {
		if _, err := decoded.Complete(entries); !errors.Is(err, ErrInvalidIndex) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	roots := map[string][]byte{
		"space added": append([]byte(" "), root...), "truncated": root[:len(root)-2], "empty": nil,
		"too large":                  bytes.Repeat([]byte(" "), MaxRootBytes+1),
		"field added":                bytes.Replace(root, []byte("{"), []byte(`{"x":1,`), 1),
		"version zero":               bytes.Replace(root, []byte(`"version":5`), []byte(`"version":0`), 1),
		"previous version not below": bytes.Replace(root, []byte(`"previous":4`), []byte(`"previous":5`), 1),
		"page missing":               bytes.Replace(root, []byte(index.Pages[0]), nil, 1)[:len(root)/2],
	}
	for name, data := range roots {
		if _, err := DecodeRoot(data); !errors.Is(err, ErrInvalidIndex) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	for name, change := range map[string]func(*Root){
		"version": func(r *Root) { r.Version++ }, "previous": func(r *Root) { r.Previous-- },
		"page": func(r *Root) { r.Pages = slices.Clone(r.Pages); r.Pages[3] = "other" },
	} {
		changed := decoded
		if change(&changed); changed.Digest() == decoded.Digest() {
			t.Errorf("the digest doesn't cover %s", name)
		}
	}
}

// Guards against configurations with too few valid sign-offs.
func TestVerify(t *testing.T) {
	var private []ed25519.PrivateKey
	var public []ed25519.PublicKey
	for seed := range byte(3) {
		key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed + 1}, ed25519.SeedSize))
		private, public = append(private, key), append(public, key.Public().(ed25519.PublicKey))
	}
	digest, other := Digest{1}, Digest{2}
	forged := Sign(private[2], digest)
	forged.Signer = SignerID(public[1])
	cases := map[string]struct {
		signOffs []SignOff
		want     error
	}{
		"two operators":                      {[]SignOff{Sign(private[0], digest), Sign(private[1], digest)}, nil},
		"no operator":                        {nil, ErrTooFewSignOffs},
		"one operator":                       {[]SignOff{Sign(private[0], digest)}, ErrTooFewSignOffs},
		"one operator twice":                 {[]SignOff{Sign(private[0], digest), Sign(private[0], digest)}, ErrTooFewSignOffs},
		"unknown operator":                   {[]SignOff{Sign(private[0], digest), Sign(private[2], digest)}, ErrTooFewSignOffs},
		"sign-off of another digest":         {[]SignOff{Sign(private[0], digest), Sign(private[1], other)}, ErrInvalidSignature},
		"signed under another operator's id": {[]SignOff{Sign(private[0], digest), forged}, ErrInvalidSignature},
		"empty signature":                    {[]SignOff{Sign(private[0], digest), {Signer: SignerID(public[1])}}, ErrInvalidSignature},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := Verify(digest, c.signOffs, public[:2], 2); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// BenchmarkAuthorize measures Authorize, which runs on every request, by number of keys of the team.
func BenchmarkAuthorize(b *testing.B) {
	for _, keys := range []int{1, 5, 300} {
		b.Run(fmt.Sprintf("keys-%d", keys), func(b *testing.B) {
			c := Compile(largeBundle(110, keys), 1)
			b.ReportAllocs()
			for b.Loop() {
				if err := c.Authorize("team-055", "queue-01", "secret-55-0"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

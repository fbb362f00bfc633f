package bundle

import (
	"testing"
)

// Guards against a sound file being refused in either format.
func TestParseAccepts(t *testing.T) {
	files := map[string]string{
		"yaml": "teams:\n- {id: a, share: 1, limit: 4, claim-region: sfax}\nqueues:\n- {id: q, kind: batch, teams: [a]}\n",
		"json": "{\n\t\"teams\": [{\"id\": \"a\", \"share\": 1, \"limit\": 4, \"claim-region\": \"sfax\"}],\n\t\"queues\": [{\"id\": \"q\", \"kind\": \"batch\", \"teams\": [\"a\"]}]\n}\n",
	}
	for name, data := range files {
		t.Run(name, func(t *testing.T) {
			b, err := Parse("file", []byte(data))
			if err != nil {
				t.Fatal(err)
			}
			if len(b.Teams) != 1 || b.Teams[0].Limit != 4 || len(b.Queues) != 1 || b.Queues[0].Teams[0] != "a" {
				t.Errorf("parsed as %+v", b)
			}
		})
	}
}

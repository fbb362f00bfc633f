package platform

import (
	"encoding/json"
	"testing"
)

// Guards against writes that become unconditional between daemons of different versions: a transaction is also a message to a
// peer, which ignores preconditions under a name that it doesn't know.
func TestTransactionEncoding(t *testing.T) {
	got, err := json.Marshal(Transaction{
		Preconditions: []Precondition{{Key: "a", Revision: 3}}, Writes: []Write{{Key: "b", Value: []byte("v"), Lease: 4}},
		Deletes: []string{"c"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Expect":[{"Key":"a","Revision":3}],"Writes":[{"Key":"b","Value":"dg==","Lease":4}],"Deletes":["c"]}`; string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

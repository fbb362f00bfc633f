package claim

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Dump is the table's state in the state dump; it contains no answers.
type Dump struct {
	Epoch  ident.Epoch             `json:"epoch"`
	Claims map[wire.ClaimState]int `json:"claims"`
	Kept   int64                   `json:"kept"`         // number of claims and tombstones
	Bytes  int64                   `json:"answer-bytes"` // size of the answers of complete claims
}

// Dump returns the table's state for the state dump.
func (t *Table) Dump() Dump {
	d := Dump{
		Epoch: ident.Epoch(t.epoch.Load()), Claims: map[wire.ClaimState]int{}, Kept: t.keptCount.Load(), Bytes: t.keptAnswerBytes.Load(),
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.lock.Lock()
		for _, claims := range s.entries {
			for _, c := range claims {
				d.Claims[c.State]++
			}
		}
		s.lock.Unlock()
	}
	return d
}

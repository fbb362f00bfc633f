package claim

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Dump is the state of the book; it holds no answers.
type Dump struct {
	Epoch  ident.Epoch             `json:"epoch"`
	Claims map[wire.ClaimState]int `json:"claims"`
	Kept   int64                   `json:"kept"`         // claims and barred nonces
	Bytes  int64                   `json:"answer-bytes"` // of completed claims
}

// Dump returns the state for the state dump.
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

package bundle

import "github.com/rosemaryspoke/rosemaryspoke/pkg/ident"

// AuthorizeTeam decides whether the secret belongs to the team, whatever the queue.
func (c *Compiled) AuthorizeTeam(team ident.TeamID, secret string) error {
	t, ok := c.teams[team]
	if !ok {
		return ErrUnknownTeam
	}
	if !t.hasSecret(secret) {
		return ErrKeyRefused
	}
	return nil
}

package bundle

import "github.com/rosemaryspoke/rosemaryspoke/pkg/ident"

// AuthorizeTeam checks that the secret is one of the team's keys, for requests that don't name a queue.
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

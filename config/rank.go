package config

import (
	"cmp"
	"slices"
)

// RankCount is how many ranks targets tell apart; from the platform's protocol.
const RankCount = 10

// rankKey is what decides between two requests: the organisation's priority, or
// the route's where the organisation has none, and then the route's.
type rankKey struct {
	orgPriority   int
	routePriority int
}

func compareRankKeys(a, b rankKey) int {
	return cmp.Or(cmp.Compare(a.orgPriority, b.orgPriority), cmp.Compare(a.routePriority, b.routePriority))
}

// rankKeyOf is the key of an organisation's requests on a route; the organisation
// is nil on public routes.
func rankKeyOf(r *Route, o *Organisation) rankKey {
	key := rankKey{
		orgPriority:   r.Priority,
		routePriority: r.Priority,
	}
	if o != nil && o.HasPriority {
		key.orgPriority = o.Priority
	}
	return key
}

// indexRanks orders the pairs of organisations and routes that can occur.
func (c *Config) indexRanks() {
	for i := range c.Routes {
		r := &c.Routes[i]
		c.rankKeys = append(c.rankKeys, rankKeyOf(r, nil))
		for j := range c.Organisations {
			c.rankKeys = append(c.rankKeys, rankKeyOf(r, &c.Organisations[j]))
		}
	}
	slices.SortFunc(c.rankKeys, compareRankKeys)
	c.rankKeys = slices.Compact(c.rankKeys)
}

// Rank is how urgent an organisation's requests on a route are among all, from 0,
// the most urgent, to Ranks-1. The organisation's priority takes precedence over
// the route's. Where there are more pairs than ranks, neighbours share one.
func (c *Config) Rank(r *Route, o *Organisation) int {
	i, _ := slices.BinarySearchFunc(c.rankKeys, rankKeyOf(r, o), compareRankKeys)
	if n := len(c.rankKeys); n > RankCount {
		i = i * RankCount / n
	}
	return min(i, RankCount-1)
}

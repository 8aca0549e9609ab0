package config

import (
	"cmp"
	"slices"
)

// Ranks is how many ranks targets tell apart; from the platform's protocol.
const Ranks = 10

// rankKey is what decides between two requests: the organisation's priority, or
// the route's where the organisation has none, and then the route's.
type rankKey struct {
	first  int
	second int
}

func compareRanks(a, b rankKey) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.second, b.second))
}

// rankKeyOf is the key of an organisation's requests on a route; the organisation
// is nil on public routes.
func rankKeyOf(r *Route, o *Organisation) rankKey {
	key := rankKey{
		first:  r.Priority,
		second: r.Priority,
	}
	if o != nil && o.HasPriority {
		key.first = o.Priority
	}
	return key
}

// indexRanks orders the pairs of organisations and routes that can occur.
func (c *Config) indexRanks() {
	for i := range c.Routes {
		r := &c.Routes[i]
		c.ranks = append(c.ranks, rankKeyOf(r, nil))
		for j := range c.Organisations {
			c.ranks = append(c.ranks, rankKeyOf(r, &c.Organisations[j]))
		}
	}
	slices.SortFunc(c.ranks, compareRanks)
	c.ranks = slices.Compact(c.ranks)
}

// Rank is how urgent an organisation's requests on a route are among all, from 0,
// the most urgent, to Ranks-1. The organisation's priority takes precedence over
// the route's. Where there are more pairs than ranks, neighbours share one.
func (c *Config) Rank(r *Route, o *Organisation) int {
	i, _ := slices.BinarySearchFunc(c.ranks, rankKeyOf(r, o), compareRanks)
	if n := len(c.ranks); n > Ranks {
		i = i * Ranks / n
	}
	return min(i, Ranks-1)
}

package config

import (
	"cmp"
	"slices"
)

// RankCount is the number of request ranks that targets distinguish, as defined by the
// platform's protocol.
const RankCount = 10

// rankKey orders requests: first by the organisation's priority, or the route's if the
// organisation has none, then by the route's.
type rankKey struct {
	orgPriority   int
	routePriority int
}

func compareRankKeys(a, b rankKey) int {
	return cmp.Or(
		cmp.Compare(a.orgPriority, b.orgPriority),
		cmp.Compare(a.routePriority, b.routePriority),
	)
}

// rankKeyOf returns the key of an organisation's requests on a route. The organisation
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

// indexRanks collects the distinct rank keys of all routes and organisations in order.
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

// Rank returns the rank of an organisation's requests on a route, from 0 (most urgent) to
// RankCount-1. The organisation's priority takes precedence over the route's. If there
// are more distinct keys than ranks, adjacent keys share a rank.
func (c *Config) Rank(r *Route, o *Organisation) int {
	i, _ := slices.BinarySearchFunc(c.rankKeys, rankKeyOf(r, o), compareRankKeys)
	if n := len(c.rankKeys); n > RankCount {
		i = i * RankCount / n
	}
	return min(i, RankCount-1)
}

// Package route is the part of routing that runs on the instance that received a
// request: it ranks the targets that may serve the request and keeps the pins under
// which requests are sent.
//
// # Usage
//
//	for _, t := range route.Top(adapter.String(), targets, 3, serves) {
//		k := route.PinKey{Target: model.TargetID(t.ID), Adapter: adapter}
//		if ticket, ok := pins.Acquire(now, k); ok {
//			...
//		}
//	}
package route

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"currantstile/model"
)

// scoredItem is the score of the item at an index.
type scoredItem struct {
	score uint64
	index int
}

// Top returns the first n members in the rendezvous hashing order of a key, without
// those for which keep is false. Every instance computes the same order, and adding
// or removing a member moves only the keys of that member.
func Top(key string, members model.Members, n int, keep func(*model.Member) bool) model.Members {
	return TopBy(key, members, func(m *model.Member) string {
		return m.ID
	}, n, keep)
}

// TopBy is Top for items of any type, which are identified by id.
func TopBy[T any](key string, items []T, id func(*T) string, n int, keep func(*T) bool) []T {
	h := xxhash.Sum64String(key)
	best := make([]scoredItem, 0, n)
	for i := range items {
		s := scoredItem{
			score: score(h, id(&items[i])),
			index: i,
		}
		if len(best) == n && (n == 0 || s.score <= best[n-1].score) || !keep(&items[i]) {
			continue
		}
		best = insertSorted(best, s, n)
	}
	list := make([]T, 0, len(best))
	for _, s := range best {
		list = append(list, items[s.index])
	}
	return list
}

// insertSorted inserts s into a list of at most n items in descending order of
// score, replacing the last item if the list is full.
func insertSorted(best []scoredItem, s scoredItem, n int) []scoredItem {
	if len(best) < n {
		best = append(best, s)
	} else {
		best[n-1] = s
	}
	for j := len(best) - 1; j > 0 && best[j].score > best[j-1].score; j-- {
		best[j], best[j-1] = best[j-1], best[j]
	}
	return best
}

func keepAll(*model.Member) bool {
	return true
}

// First returns the first member in the rendezvous hashing order of a key. It
// reports false if there are no members.
func First(key string, members model.Members) (model.Member, bool) {
	list := Top(key, members, 1, keepAll)
	if len(list) == 0 {
		return model.Member{}, false
	}
	return list[0], true
}

// score combines the hashes of a key and a member, so that the key is hashed only
// once for all members. The shifts and factors are those of the splitmix64 finaliser.
func score(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Weighted returns the first item in a weighted rendezvous order of a key: over many keys
// each item is first in proportion to its weight. describe returns an item's identifier
// and its weight; a weight that is not positive counts as 1. Weighted reports false if
// there are no items.
func Weighted[T any](key string, items []T, describe func(*T) (string, float64)) (T, bool) {
	var best T
	lowest := math.Inf(1)
	h := xxhash.Sum64String(key)
	for i := range items {
		id, weight := describe(&items[i])
		if weight <= 0 {
			weight = 1
		}
		uniform := (float64(score(h, id)) + 1) / (math.MaxUint64 + 1.0)
		if cost := -math.Log(uniform) / weight; cost < lowest {
			best, lowest = items[i], cost
		}
	}
	return best, len(items) > 0
}

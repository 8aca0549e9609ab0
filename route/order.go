// Package route is the entry's side of routing: which targets a request may go
// to, in which order, and the pins under which it is sent.
//
// # Usage
//
//	for _, t := range route.Top(key, targets, 3, serves) {
//		if pin, ok := holds.Take(now, t.ID, adapter); ok {
//			...
//		}
//	}
package route

import (
	"github.com/cespare/xxhash/v2"

	"currantstile/model"
)

// scoredItem is a member's place in an order.
type scoredItem struct {
	score uint64
	index int
}

// Top returns the first n members in the rendezvous order of a key, leaving out
// those for which keep is false. Every instance finds the same order, and a
// member that comes or goes moves only its own share of the keys.
func Top(key string, members model.Members, n int, keep func(*model.Member) bool) model.Members {
	return TopBy(key, members, func(m *model.Member) string {
		return m.ID
	}, n, keep)
}

// TopBy is Top for items of any type, which id names.
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

// insertSorted puts s into a list of at most n in descending order.
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

// First returns the first member in the order for a key.
func First(key string, members model.Members) (model.Member, bool) {
	list := Top(key, members, 1, keepAll)
	if len(list) == 0 {
		return model.Member{}, false
	}
	return list[0], true
}

// score mixes the hashes of a key and a member, so that the key is hashed once.
func score(key uint64, id string) uint64 {
	x := key ^ xxhash.Sum64String(id)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package drill

import (
	"slices"

	"currantstile/judge"
)

// Breaks returns the breaks of a rule, or of all rules if rule is empty, by rule.
func Breaks(h judge.History, rule string) []judge.Verdict {
	var broken []judge.Verdict
	for _, v := range judge.Judge(h) {
		if len(v.Breaks) > 0 && (rule == "" || v.Rule == rule) {
			broken = append(broken, v)
		}
	}
	return broken
}

// Shrink returns a smaller day for which fails still returns true, after at most budget calls. It
// tries the requests in suspects alone first, then drops faults, requests and replies: halves first,
// then smaller parts.
func Shrink(d *Day, suspects []string, budget int, fails func(*Day) bool) *Day {
	best := *d
	try := func(smaller Day) bool {
		if budget <= 0 {
			return false
		}
		budget--
		if !fails(&smaller) {
			return false
		}
		best = smaller
		return true
	}
	for _, keep := range []func(Request) bool{
		func(r Request) bool { return slices.Contains(suspects, r.ID) },
		func(r Request) bool { return slices.Contains(suspects, r.ID) || r.Part != "" },
	} {
		smaller := best
		smaller.Requests = slices.DeleteFunc(slices.Clone(best.Requests), func(r Request) bool {
			return !keep(r)
		})
		smaller.Replies = repliesOf(best.Replies, smaller.Requests)
		if len(smaller.Requests) > 0 && try(smaller) {
			break
		}
	}
	for before := -1; before != best.size() && budget > 0; {
		before = best.size()
		shrinkList(func() []Fault { return best.Faults }, func(list []Fault) bool {
			smaller := best
			smaller.Faults = list
			return try(smaller)
		})
		shrinkList(func() []Request { return best.Requests }, func(list []Request) bool {
			smaller := best
			smaller.Requests = list
			smaller.Replies = repliesOf(best.Replies, list)
			return try(smaller)
		})
		// What a request does in each of its runs is a part of the request.
		always := slices.DeleteFunc(slices.Clone(best.Replies), func(r Reply) bool {
			return r.Run != 0
		})
		shrinkList(func() []Reply {
			return slices.DeleteFunc(slices.Clone(best.Replies), func(r Reply) bool {
				return r.Run == 0
			})
		}, func(list []Reply) bool {
			smaller := best
			smaller.Replies = append(list, always...)
			return try(smaller)
		})
	}
	return &best
}

// size is the number of lines that a day has.
func (d *Day) size() int {
	return len(d.Faults) + len(d.Requests) + len(d.Replies)
}

// repliesOf returns the replies to the given requests.
func repliesOf(replies []Reply, requests []Request) []Reply {
	known := make(map[string]bool, len(requests))
	for _, r := range requests {
		known[r.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(replies), func(r Reply) bool {
		return !known[r.Request]
	})
}

// shrinkList drops parts of a list as long as try accepts what is left.
func shrinkList[T any](get func() []T, try func([]T) bool) {
	for part := max(len(get())/2, 1); part >= 1; part /= 2 {
		for at := 0; at < len(get()); {
			list := get()
			if !try(slices.Delete(slices.Clone(list), at, min(at+part, len(list)))) {
				at += part
			}
		}
	}
}

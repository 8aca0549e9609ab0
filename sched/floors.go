package sched

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// floorShare is the fraction of the share of placed requests over all that each kind and
	// each organisation gets at least under overload; sizeShare is the fraction of its kind's
	// share that the largest prompts get. orderShare is the fraction of the share of less urgent
	// kinds that a kind gets at least.
	floorShare = 0.35
	sizeShare  = 0.6
	orderShare = 1.1
	// floorTimeConstant is the time constant of the counts of requests, and minFloorCount the
	// count from which a group has a share.
	floorTimeConstant = 4 * time.Second
	// organisationTimeConstant is that of the counts of an organisation's requests, of which an
	// instance gets few.
	organisationTimeConstant = 5 * time.Second
	minFloorCount            = 3
	// maxFloorGroups limits the number of groups. When it is reached, those with a count below
	// minKeptCount are evicted, or all if there are none.
	maxFloorGroups = 4096
	minKeptCount   = 0.1
	// recentSizes is how many prompts of a kind are ranked to find the largest ones.
	recentSizes = 64
	// largestShare and largeShare are the fractions of a kind that are its largest prompts, and
	// the next ones.
	largestShare = 0.1
	largeShare   = 0.2
)

// FloorRequest is what the groups of a request depend on.
type FloorRequest struct {
	Priority     int
	Organisation string
	Prompt       int64
}

// Floors counts how often groups of requests are placed: kinds, organisations and the largest
// prompts of a kind. It is safe for concurrent use.
type Floors struct {
	mu     sync.Mutex
	all    placedShare
	groups map[string]*placedShare
	kinds  map[int]*kindSizes
}

// placedShare is the number of requests that were asked and placed, as of at.
type placedShare struct {
	asked  float64
	placed float64
	at     time.Time
	// slow is set for an organisation.
	slow bool
}

// kindSizes holds the last prompts of a kind.
type kindSizes struct {
	tokens []int64
	next   int
}

// decay brings the counts to the present.
func (s *placedShare) decay(now time.Time) {
	constant := floorTimeConstant
	if s.slow {
		constant = organisationTimeConstant
	}
	f := math.Exp(-float64(now.Sub(s.at)) / float64(constant))
	s.asked, s.placed, s.at = s.asked*f, s.placed*f, now
}

// share returns the share of requests that were placed, and whether there are enough of them.
func (s *placedShare) share(now time.Time) (float64, bool) {
	s.decay(now)
	if s.asked < minFloorCount {
		return 0, false
	}
	return s.placed / s.asked, true
}

// add counts a request.
func (s *placedShare) add(now time.Time, placed bool) {
	s.decay(now)
	s.asked++
	if placed {
		s.placed++
	}
}

// Record counts a request that was placed or refused.
func (f *Floors) Record(now time.Time, r FloorRequest, placed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.groups == nil {
		f.groups = make(map[string]*placedShare)
		f.kinds = make(map[int]*kindSizes)
	}
	f.all.add(now, placed)
	for _, name := range f.groupsOf(r) {
		f.group(now, name).add(now, placed)
	}
	k, ok := f.kinds[r.Priority]
	if !ok {
		k = &kindSizes{}
		f.kinds[r.Priority] = k
	}
	k.add(r.Prompt)
}

// Below reports whether a group of the request is placed too seldom compared with all requests, or
// its kind compared with a less urgent one.
func (f *Floors) Below(now time.Time, r FloorRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, ok := f.all.share(now)
	if !ok {
		return false
	}
	own, counted := f.shareOf(now, kindGroup(r.Priority))
	for _, name := range f.groupsOf(r) {
		least := floorShare * all
		if strings.HasPrefix(name, kindGroup(r.Priority)+"/") {
			least = sizeShare * own
		}
		if s, enough := f.shareOf(now, name); enough && s < least {
			return true
		}
	}
	for p := range f.kinds {
		if other, enough := f.shareOf(now, kindGroup(p)); enough && counted && p > r.Priority && own < orderShare*other {
			return true
		}
	}
	return false
}

// Unserved reports whether an organisation was placed too seldom as far as this instance can tell,
// which most instances cannot for most organisations.
func (f *Floors) Unserved(now time.Time, organisation string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g, ok := f.groups[organisationPrefix+organisation]
	if !ok {
		return true
	}
	all, _ := f.all.share(now)
	g.decay(now)
	// An organisation without a recent request counts as one that was refused.
	return g.placed < floorShare*all*max(g.asked, 1)
}

// shareOf returns the share of a group. The caller holds mu.
func (f *Floors) shareOf(now time.Time, name string) (float64, bool) {
	g, ok := f.groups[name]
	if !ok {
		return 0, false
	}
	return g.share(now)
}

// group returns the counts of a group. The caller holds mu.
func (f *Floors) group(now time.Time, name string) *placedShare {
	g, ok := f.groups[name]
	if !ok {
		f.evict(now)
		g = &placedShare{
			at:   now,
			slow: strings.HasPrefix(name, organisationPrefix),
		}
		f.groups[name] = g
	}
	return g
}

// evict removes the groups with few requests once the table is full. The caller holds mu.
func (f *Floors) evict(now time.Time) {
	if len(f.groups) < maxFloorGroups {
		return
	}
	for name, g := range f.groups {
		if g.decay(now); g.asked < minKeptCount {
			delete(f.groups, name)
		}
	}
	if len(f.groups) >= maxFloorGroups {
		clear(f.groups)
	}
}

// groupsOf returns the names of the groups of a request. The caller holds mu.
func (f *Floors) groupsOf(r FloorRequest) []string {
	names := []string{kindGroup(r.Priority)}
	if r.Organisation != "" {
		names = append(names, organisationPrefix+r.Organisation)
	}
	if k, ok := f.kinds[r.Priority]; ok {
		switch rank := k.rank(r.Prompt); {
		case rank > 1-largestShare:
			names = append(names, kindGroup(r.Priority)+"/largest")
		case rank > 1-largestShare-largeShare:
			names = append(names, kindGroup(r.Priority)+"/large")
		}
	}
	return names
}

// organisationPrefix begins the name of an organisation's group.
const organisationPrefix = "organisation/"

// kindGroup returns the name of a kind's group.
func kindGroup(priority int) string {
	return "kind/" + strconv.Itoa(priority)
}

// add adds a prompt.
func (k *kindSizes) add(tokens int64) {
	if len(k.tokens) < recentSizes {
		k.tokens = append(k.tokens, tokens)
		return
	}
	k.tokens[k.next] = tokens
	k.next = (k.next + 1) % recentSizes
}

// rank returns the fraction of recent prompts that are shorter, or 0 if there are too few.
func (k *kindSizes) rank(tokens int64) float64 {
	if len(k.tokens) < recentSizes/2 {
		return 0
	}
	shorter := slices.Clone(k.tokens)
	slices.Sort(shorter)
	n, _ := slices.BinarySearch(shorter, tokens)
	return float64(n) / float64(len(shorter))
}

package drill

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/platform/fake"
)

// Mutation changes a message: what it says, or its bytes from a place on.
type Mutation struct {
	Op string
	// At is the place as a share of the message's bytes, from 0 to 1.
	At float64
	// Arg is the argument: a status, a duration, a number or a text.
	Arg string
}

// Mutations are applied in order. Their text form is OP[@AT][:ARG], separated by commas.
type Mutations []Mutation

// String implements fmt.Stringer.
func (m Mutations) String() string {
	words := make([]string, 0, len(m))
	for _, x := range m {
		w := x.Op
		if x.At > 0 {
			w += "@" + strconv.FormatFloat(x.At, 'f', 4, 64)
		}
		if x.Arg != "" {
			w += ":" + x.Arg
		}
		words = append(words, w)
	}
	return strings.Join(words, ",")
}

// ParseMutations reads the text form of mutations.
func ParseMutations(s string) (Mutations, error) {
	var list Mutations
	for _, word := range strings.Split(s, ",") {
		var m Mutation
		var place string
		word, m.Arg, _ = strings.Cut(word, ":")
		m.Op, place, _ = strings.Cut(word, "@")
		if place != "" {
			at, err := strconv.ParseFloat(place, 64)
			if err != nil || at < 0 || at > 1 {
				return nil, errors.Errorf("place %q is not from 0 to 1", place)
			}
			m.At = at
		}
		op, ok := opNamed(m.Op)
		if !ok {
			return nil, errors.Errorf("unknown mutation %q", m.Op)
		}
		if err := op.check(m); err != nil {
			return nil, errors.Wrapf(err, "mutation %q", m.Op)
		}
		list = append(list, m)
	}
	return list, nil
}

// Ways in which a message ends its connection.
const (
	endReset   = "reset"
	endClose   = "close"
	endHalf    = "half-close"
	endSilence = "silence"
)

// op is a kind of mutation.
type op struct {
	name string
	// weight is how often it is drawn among the others.
	weight int
	// place is set if it has a place.
	place bool
	// draw returns an argument; nil if it has none.
	draw func(rng *rand.Rand) string
	// reply changes what a reply says; nil if the mutation is one of bytes.
	reply func(r *fake.Reply, m Mutation)
	// bytes changes the script of a message; nil if the mutation is one of contents.
	bytes func(s *script, m Mutation)
	// onlyReplies is set if it makes no sense for a request.
	onlyReplies bool
}

// check returns what is wrong with a mutation's argument.
func (o op) check(m Mutation) error {
	if (o.draw != nil) != (m.Arg != "") {
		return errors.Errorf("argument %q does not fit", m.Arg)
	}
	return nil
}

func oneOf(words ...string) func(*rand.Rand) string {
	return func(rng *rand.Rand) string {
		return words[rng.IntN(len(words))]
	}
}

// between draws a duration in whole milliseconds.
func between(least, most time.Duration) func(*rand.Rand) string {
	return func(rng *rand.Rand) string {
		return (least + time.Duration(rng.Int64N(int64(most-least)/int64(time.Millisecond)+1))*time.Millisecond).String()
	}
}

func number(least, most int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string {
		return strconv.Itoa(least + rng.IntN(most-least+1))
	}
}

// duration returns the argument as a duration; an invalid one is 0.
func (m Mutation) duration() time.Duration {
	d, err := time.ParseDuration(m.Arg)
	if err != nil {
		return 0
	}
	return d
}

// number returns the argument as a number; an invalid one is 0.
func (m Mutation) number() int {
	n, err := strconv.Atoi(m.Arg)
	if err != nil {
		return 0
	}
	return n
}

// ops are the kinds of mutations. Their order decides what a seed draws.
var ops []op

func init() {
	ops = slices.Concat(replyOps(), byteOps(), copyOps())
}

// replyOp returns a mutation of what a reply says.
func replyOp(name string, weight int, draw func(*rand.Rand) string, apply func(r *fake.Reply, m Mutation)) op {
	return op{
		name:        name,
		weight:      weight,
		draw:        draw,
		reply:       apply,
		onlyReplies: true,
	}
}

// refuse makes a reply one that says that the request was not executed.
func refuse(r *fake.Reply, status int) {
	r.Status, r.NotExecuted, r.Signature, r.Body, r.Framing = status, true, "", "", fake.Length
}

// replyOps are the mutations of what a reply says.
func replyOps() []op {
	statuses := oneOf("200", "204", "400", "404", "408", "409", "421", "429", "500", "502", "503", "503", "503")
	pushback := between(20*time.Millisecond, 4*time.Second)
	return []op{
		replyOp("status", 6, statuses, func(r *fake.Reply, m Mutation) { r.Status = m.number() }),
		replyOp("not-executed", 4, nil, func(r *fake.Reply, _ Mutation) { r.NotExecuted = true }),
		replyOp("refused", 8, nil, func(r *fake.Reply, _ Mutation) { refuse(r, http.StatusServiceUnavailable) }),
		replyOp("misdirected", 3, nil, func(r *fake.Reply, _ Mutation) { refuse(r, http.StatusMisdirectedRequest) }),
		replyOp("pushback", 4, pushback, func(r *fake.Reply, m Mutation) {
			refuse(r, http.StatusServiceUnavailable)
			r.RetryAfter = m.duration()
		}),
		replyOp("retry-after", 2, pushback, func(r *fake.Reply, m Mutation) { r.RetryAfter = m.duration() }),
		replyOp("leaving", 1, nil, func(r *fake.Reply, _ Mutation) { r.Leaving = true }),
		replyOp("unsigned", 2, nil, func(r *fake.Reply, _ Mutation) { r.Signature = "" }),
		replyOp("no-id", 3, nil, func(r *fake.Reply, _ Mutation) { r.ID = "" }),
		replyOp("other-id", 3, nil, func(r *fake.Reply, _ Mutation) { r.ID = "other" }),
		replyOp("encoded", 2, nil, func(r *fake.Reply, _ Mutation) { r.Encoding = "gzip" }),
		replyOp("type", 3, oneOf("text/plain", "application/json", "text/event-stream"), func(r *fake.Reply, m Mutation) { r.ContentType = m.Arg }),
		replyOp("framing", 6, oneOf(fake.Length, fake.Chunks, fake.Close), func(r *fake.Reply, m Mutation) { r.Framing = m.Arg }),
		replyOp("http10", 2, nil, func(r *fake.Reply, _ Mutation) { r.HTTP10 = true }),
		replyOp("last", 3, nil, func(r *fake.Reply, _ Mutation) { r.LastResponse = true }),
		replyOp("body", 2, oneOf("error", "{}", "upstream-failed", "-"), func(r *fake.Reply, m Mutation) { r.Body = strings.TrimPrefix(m.Arg, "-") }),
	}
}

// byteOps are the mutations of bytes.
func byteOps() []op {
	return []op{
		{
			name:   "cut",
			weight: 12,
			place:  true,
			draw:   oneOf(endReset, endClose, endClose, endHalf, endSilence),
			bytes: func(s *script, m Mutation) {
				s.cut(m.At, m.Arg)
			},
		},
		{
			name:        "crash",
			weight:      5,
			place:       true,
			draw:        oneOf("0s", "0s", "20ms", "150ms", "900ms"),
			onlyReplies: true,
			bytes: func(s *script, m Mutation) {
				s.cut(m.At, endClose)
				s.crash, s.crashAfter = true, m.duration()
			},
		},
		{
			name:   "flip",
			weight: 4,
			place:  true,
			draw:   number(1, 255),
			bytes: func(s *script, m Mutation) {
				s.flip(m.At, byte(m.number()))
			},
		},
		{
			name:   "drop",
			weight: 3,
			place:  true,
			draw:   number(1, 40),
			bytes: func(s *script, m Mutation) {
				s.replace(m.At, m.number(), "")
			},
		},
		{
			name:   "insert",
			weight: 3,
			place:  true,
			draw:   oneOf("0", "x", "%0d%0a", "%0a%0a", "%0d%0a%0d%0a", "%00%ff", "HTTP/1.1%20200%20OK%0d%0a", "data:%20x%0a%0a", "0%0d%0a%0d%0a"),
			bytes: func(s *script, m Mutation) {
				s.replace(m.At, 0, unescape(m.Arg))
			},
		},
		{
			name:   "pause",
			weight: 6,
			place:  true,
			draw:   between(5*time.Millisecond, 3500*time.Millisecond),
			bytes: func(s *script, m Mutation) {
				s.pause(m.At, m.duration())
			},
		},
		{
			name:   "trickle",
			weight: 2,
			place:  true,
			draw:   between(50*time.Millisecond, 900*time.Millisecond),
			bytes: func(s *script, m Mutation) {
				s.trickle(m.At, m.duration())
			},
		},
	}
}

// copyOps are the mutations that write more than the message.
func copyOps() []op {
	return []op{
		{
			name:        "again",
			weight:      8,
			draw:        oneOf("0s", "0s", "1ms", "20ms", "200ms", "next", "next"),
			onlyReplies: true,
			bytes: func(s *script, m Mutation) {
				s.again, s.againAfter = true, m.duration()
				s.againNext = m.Arg == "next"
			},
		},
		{
			name:        "earlier",
			weight:      3,
			onlyReplies: true,
			bytes: func(s *script, _ Mutation) {
				s.earlier = true
			},
		},
		{
			name:        "endless",
			weight:      2,
			place:       true,
			onlyReplies: true,
			bytes: func(s *script, m Mutation) {
				s.endless(m.At)
			},
		},
	}
}

// unescape returns a text whose %XX are bytes.
func unescape(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if n, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(n))
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

func opNamed(name string) (op, bool) {
	i := slices.IndexFunc(ops, func(o op) bool {
		return o.name == name
	})
	if i < 0 {
		return op{}, false
	}
	return ops[i], true
}

// drawMutations draws one to three mutations of a reply or of a request.
func drawMutations(rng *rand.Rand, reply bool) Mutations {
	total := 0
	for _, o := range ops {
		if reply || !o.onlyReplies {
			total += o.weight
		}
	}
	n := 1
	for n < 3 && rng.IntN(3) == 0 {
		n++
	}
	var list Mutations
	for range n {
		pick := rng.IntN(total)
		for _, o := range ops {
			if !reply && o.onlyReplies {
				continue
			}
			if pick -= o.weight; pick >= 0 {
				continue
			}
			m := Mutation{
				Op: o.name,
			}
			if o.place {
				m.At = float64(rng.IntN(10001)) / 10000
			}
			if o.draw != nil {
				m.Arg = o.draw(rng)
			}
			list = append(list, m)
			break
		}
	}
	return list
}

// applyReply applies the mutations of contents.
func (m Mutations) applyReply(r *fake.Reply) {
	for _, x := range m {
		if o, ok := opNamed(x.Op); ok && o.reply != nil {
			o.reply(r, x)
		}
	}
}

// applyBytes applies the mutations of bytes.
func (m Mutations) applyBytes(s *script) {
	for _, x := range m {
		if o, ok := opNamed(x.Op); ok && o.bytes != nil {
			o.bytes(s, x)
		}
	}
}

// step is bytes that are written after a pause.
type step struct {
	wait time.Duration
	data string
}

// script is a message as it is written.
type script struct {
	steps []step
	// end is how the connection ends behind the message; empty keeps it.
	end string
	// crash ends the process; its port is closed crashAfter later than its connection.
	crash      bool
	crashAfter time.Duration
	// again writes the message once more: after a time, or when the next request has arrived.
	again      bool
	againAfter time.Duration
	againNext  bool
	// earlier writes the answer before it on the connection first.
	earlier bool
	// noEnd writes on until the reader closes.
	noEnd bool
	// changed is set if bytes of the message were changed.
	changed bool
}

// text returns all bytes of the message.
func (s *script) text() string {
	var b strings.Builder
	for _, x := range s.steps {
		b.WriteString(x.data)
	}
	return b.String()
}

// split divides the step at a share of the bytes and returns the index of the step that begins
// there.
func (s *script) split(at float64) int {
	left := int(at * float64(len(s.text())))
	for i, x := range s.steps {
		if left < len(x.data) || left == len(x.data) && i == len(s.steps)-1 {
			s.steps = slices.Insert(s.steps, i+1, step{
				data: x.data[left:],
			})
			s.steps[i].data = x.data[:left]
			return i + 1
		}
		left -= len(x.data)
	}
	return len(s.steps)
}

func (s *script) cut(at float64, end string) {
	s.steps = s.steps[:s.split(at)]
	s.end = end
}

func (s *script) flip(at float64, by byte) {
	i := s.split(at)
	if i < len(s.steps) && s.steps[i].data != "" {
		b := []byte(s.steps[i].data)
		b[0] ^= by
		s.steps[i].data = string(b)
		s.changed = true
	}
}

// replace replaces n bytes from a place on by a text.
func (s *script) replace(at float64, n int, text string) {
	i := s.split(at)
	if i < len(s.steps) {
		d := s.steps[i].data
		s.steps[i].data = text + d[min(n, len(d)):]
		s.changed = true
	}
}

func (s *script) pause(at float64, d time.Duration) {
	if i := s.split(at); i < len(s.steps) {
		s.steps[i].wait += d
	}
}

// maxTrickle is how many bytes are written one by one.
const maxTrickle = 12

func (s *script) trickle(at float64, gap time.Duration) {
	i := s.split(at)
	if i >= len(s.steps) {
		return
	}
	rest := s.steps[i].data
	var slow []step
	for n := 0; n < min(len(rest), maxTrickle); n++ {
		slow = append(slow, step{
			wait: gap,
			data: rest[n : n+1],
		})
	}
	slow = append(slow, step{
		data: rest[min(len(rest), maxTrickle):],
	})
	s.steps = slices.Replace(s.steps, i, i+1, slow...)
}

func (s *script) endless(at float64) {
	s.steps = s.steps[:s.split(at)]
	s.noEnd = true
}

// Package drill plays days of misbehaviour: a fleet of instances in an emulated platform, with
// callers, targets and a store that go wrong in ways drawn from a seed, judged by package judge. A
// day is a value with a text form, so that one that breaks a rule can be kept, made smaller and
// played again. docs/design/trial.md says what was weighed.
//
// # Usage
//
//	d := drill.Draw(drill.Options{Seed: 17})
//	out := drill.Play(drill.Fleet{NewInstance: newInstance, Network: net}, d)
//	for _, v := range judge.Judge(out.History) {
//		fmt.Println(v.Rule, v.State())
//	}
package drill

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"currantstile/model"
)

// Day is all that happens on a day, in the order of time.
type Day struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	// Engines and Services are the numbers of targets of the model service and of the plain one.
	Engines  int
	Services int
	// Rate is the limit of the organisation in tokens a second, and its burst in tokens.
	Rate     int
	Requests []Request
	Replies  []Reply
	Faults   []Fault
}

// Request is a request of a caller.
type Request struct {
	ID       string
	At       time.Duration
	Instance int
	// Route is the name of a route of the configuration.
	Route   string
	Key     string
	Adapter int
	// Part is the part of a prompt that requests share; empty for the usual one.
	Part string
	// Path is the rest of the path, behind the route's prefix.
	Path    string
	Timeout time.Duration
	// Conn numbers the connection that the caller keeps for several requests; 0 opens one.
	Conn int
	// Body is the length of the body in bytes; Chunked sends it in chunks.
	Body    int
	Chunked bool
	// Leaves is when the caller closes its connection; 0 for never.
	Leaves time.Duration
	// Slow is how long the caller pauses before each read of a part of the answer.
	Slow time.Duration
	// Mutations change the bytes of the request.
	Mutations Mutations
}

// Reply is how a target answers one run of a request.
type Reply struct {
	Request string
	// Run numbers the arrivals of the request at targets, from 1; 0 means each.
	Run int
	// Delay is added to the time of the work.
	Delay     time.Duration
	Mutations Mutations
}

// Fault is a disturbance or a change.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind string
	// Who is the number of the instance or target, and With that of a second one.
	Who  int
	With int
	// How is the variant; empty for the usual one.
	How string
}

// dayHeader is the first line of a day's text.
const dayHeader = "currantstile-day 1"

// Encode returns the text form of a day.
func (d *Day) Encode() string {
	var b strings.Builder
	fmt.Fprintln(&b, dayHeader)
	fmt.Fprintf(&b, "day seed=%d length=%v instances=%d engines=%d services=%d rate=%d\n", d.Seed, d.Length, d.Instances, d.Engines, d.Services, d.Rate)
	for _, f := range d.Faults {
		writeLine(&b, "fault", f)
	}
	for _, r := range d.Requests {
		writeLine(&b, "request", r)
	}
	for _, r := range d.Replies {
		writeLine(&b, "reply", r)
	}
	return b.String()
}

// fieldName returns the name of a field in the text form.
func fieldName(f reflect.StructField) string {
	return strings.ToLower(f.Name)
}

// writeLine writes a struct as a line of its fields that are not zero.
func writeLine(w io.Writer, word string, value any) {
	fmt.Fprint(w, word)
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		if f := v.Field(i); !f.IsZero() {
			fmt.Fprintf(w, " %s=%v", fieldName(v.Type().Field(i)), f.Interface())
		}
	}
	fmt.Fprintln(w)
}

// Parse reads the text form of a day. Its error names each line that is wrong.
func Parse(r io.Reader) (*Day, error) {
	d := &Day{}
	var fields model.FieldErrors
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		text := strings.TrimSpace(sc.Text())
		word, rest, _ := strings.Cut(text, " ")
		var err error
		switch {
		case n == 1:
			if text != dayHeader {
				err = errors.Errorf("must be %q", dayHeader)
			}
		case text == "" || strings.HasPrefix(text, "#"):
		case word == "day":
			err = parseLine(rest, d)
		case word == "fault":
			err = parseInto(rest, &d.Faults)
		case word == "request":
			err = parseInto(rest, &d.Requests)
		case word == "reply":
			err = parseInto(rest, &d.Replies)
		default:
			err = errors.Errorf("unknown word %q; known are day, fault, request and reply", word)
		}
		if err != nil {
			fields.Add("line "+strconv.Itoa(n), "%v", err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, errors.Wrap(err, "drill.Parse")
	}
	if len(fields) == 0 {
		d.validate(&fields)
	}
	if err := fields.Err(); err != nil {
		return nil, err
	}
	d.sort()
	return d, nil
}

func parseInto[T any](text string, list *[]T) error {
	var v T
	if err := parseLine(text, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

// parseLine sets the fields of the struct that value points to from a line of NAME=VALUE.
func parseLine(text string, value any) error {
	v := reflect.ValueOf(value).Elem()
	for _, word := range strings.Fields(text) {
		name, s, _ := strings.Cut(word, "=")
		f, ok := v.Type().FieldByNameFunc(func(field string) bool {
			return strings.ToLower(field) == name
		})
		if !ok {
			return errors.Errorf("unknown field %q", name)
		}
		if err := setField(v.FieldByIndex(f.Index), s); err != nil {
			return errors.Wrapf(err, "field %q", name)
		}
	}
	return nil
}

func setField(f reflect.Value, s string) error {
	switch p := f.Addr().Interface().(type) {
	case *string:
		*p = s
	case *bool:
		b, err := strconv.ParseBool(s)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", s)
		}
		*p = b
	case *int:
		n, err := strconv.Atoi(s)
		if err != nil {
			return errors.Errorf("%q is no whole number", s)
		}
		*p = n
	case *uint64:
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return errors.Errorf("%q is no whole number", s)
		}
		*p = n
	case *time.Duration:
		d, err := time.ParseDuration(s)
		if err != nil {
			return errors.Errorf("%q is no duration such as 1.2s", s)
		}
		*p = d
	case *Mutations:
		m, err := ParseMutations(s)
		if err != nil {
			return err
		}
		*p = m
	default:
		return errors.New("can't be set")
	}
	return nil
}

// Bounds of a day.
const (
	maxLength    = time.Hour
	maxInstances = 200
	maxTargets   = 200
)

// validate adds what is wrong with a day.
func (d *Day) validate(fields *model.FieldErrors) {
	check := func(ok bool, field, text string) {
		if !ok {
			fields.Add(field, "%s", text)
		}
	}
	check(d.Length > 0 && d.Length <= maxLength, "length", "must be from 1ns to "+maxLength.String())
	check(d.Instances > 0 && d.Instances <= maxInstances, "instances", fmt.Sprintf("must be from 1 to %d", maxInstances))
	check(d.Engines > 0 && d.Engines <= maxTargets, "engines", fmt.Sprintf("must be from 1 to %d", maxTargets))
	check(d.Services > 0 && d.Services <= maxTargets, "services", fmt.Sprintf("must be from 1 to %d", maxTargets))
	for _, r := range d.Requests {
		_, ok := routeNamed(r.Route)
		check(ok, "request "+r.ID, fmt.Sprintf("route %q is unknown", r.Route))
		check(r.ID != "", "request", "needs an id")
		check(r.Instance >= 0 && r.Instance < d.Instances, "request "+r.ID, "instance is out of range")
		check(r.Timeout > 0, "request "+r.ID, "needs a timeout")
	}
	for _, f := range d.Faults {
		_, ok := faultNamed(f.Kind)
		check(ok, "fault at "+f.At.String(), fmt.Sprintf("kind %q is unknown", f.Kind))
	}
}

// sort puts the day into the order of time.
func (d *Day) sort() {
	slices.SortStableFunc(d.Requests, func(a, b Request) int {
		return int(a.At - b.At)
	})
	slices.SortStableFunc(d.Faults, func(a, b Fault) int {
		return int(a.At - b.At)
	})
}

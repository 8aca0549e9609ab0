package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

const usageExplain = `
currantstile explain REQUEST-ID FILE...

Reads the logs of one or more instances and prints the lines about a request in
order of time, each with its instance. Before them it prints the last known state
of each instance that logged the request: its configuration, its share of the
limits, and its view of the target that the request went to; and why a feature of
the request was blocked. FILE is a log as
currantstile node writes it; - is standard input. If a log collector put text
before a line's JSON object, such as a time and the instance's name, the last word
of that text is taken as the instance.

Example:
  currantstile explain 9c41d07be2a35f68 entry-0.log entry-1.log
`

// maxLogLine is the longest log line that can be read, in bytes.
const maxLogLine = 1 << 20

// logLine is one parsed line of a log, with the instance or file it came from.
type logLine struct {
	source string
	time   string
	text   string
	fields map[string]any
}

func (l *logLine) stringField(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// concerns reports whether the line is about a request: its own, or that of the target which
// ended while it began to answer the request.
func (l *logLine) concerns(id string) bool {
	return l.stringField("request") == id || slices.Contains(strings.Fields(l.stringField("starting")), id)
}

func runExplain(_ context.Context, args []string, out, _ io.Writer) error {
	fs := newFlags("explain")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if fs.NArg() < 2 {
		return &usageError{
			command: "explain",
			message: "needs a request id and at least one log file",
		}
	}
	id := fs.Arg(0)
	var lines []logLine
	for _, path := range fs.Args()[1:] {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool {
		return lines[i].time < lines[j].time
	})
	selected := requestLines(id, lines)
	if len(selected) == 0 {
		return errors.Errorf("no log line found for request %s", id)
	}
	for _, l := range selected {
		fmt.Fprintf(out, "%s  %s  %s\n", l.time, l.source, l.text)
	}
	return nil
}

// readLog reads a log file, or standard input for "-". Lines without a JSON object are skipped.
func readLog(path string) ([]logLine, error) {
	f := os.Stdin
	if path != "-" {
		var err error
		if f, err = os.Open(path); err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		defer f.Close()
	}
	var lines []logLine
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		if l, ok := parseLine(path, sc.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(sc.Err(), "explain")
}

func parseLine(path, text string) (logLine, bool) {
	prefix, object, ok := strings.Cut(text, "{")
	if !ok {
		return logLine{}, false
	}
	l := logLine{
		source: path,
	}
	if err := json.Unmarshal([]byte("{"+object), &l.fields); err != nil {
		return logLine{}, false
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		l.source = words[len(words)-1]
	}
	l.time = l.stringField("time")
	l.text = formatMessage(l.fields)
	return l, true
}

// formatMessage returns a line's message followed by its non-empty fields, sorted by name.
func formatMessage(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for n := range fields {
		if n != "time" && n != "level" && n != "message" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprint(&b, fields["message"])
	for _, n := range names {
		if v := fields[n]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", n, v)
		}
	}
	return b.String()
}

// requestLines returns the lines of a request. Before them it puts, for each instance and
// target involved, the last earlier line of each kind of state change that affects requests.
func requestLines(id string, lines []logLine) []logLine {
	sources, targets, features := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	first := -1
	for i, l := range lines {
		if !l.concerns(id) {
			continue
		}
		if first < 0 {
			first = i
		}
		sources[l.source] = true
		targets[l.stringField("target")] = true
		features[l.stringField("feature")] = true
	}
	if first < 0 {
		return nil
	}
	states := make(map[string]logLine)
	var selected []logLine
	for i, l := range lines {
		switch {
		case l.concerns(id):
			selected = append(selected, l)
		case i < first && (isStateChange(l, sources, targets) || isBlockChange(l, features)):
			states[l.source+l.stringField("message")+l.stringField("target")+l.stringField("feature")] = l
		}
	}
	earlier := make([]logLine, 0, len(states))
	for _, l := range states {
		earlier = append(earlier, l)
	}
	sort.Slice(earlier, func(i, j int) bool {
		return earlier[i].time < earlier[j].time
	})
	return append(earlier, selected...)
}

// Messages of lines that record a change of state: of an instance, of a target and of a blocked
// feature. They must be equal to those that the packages log.
var (
	instanceMessages = []string{
		"node: configuration in force",
		"limits: part of all limits changed, in millionths",
		"feed: role changed",
	}
	targetMessages = []string{
		"node: target changed",
		"lead: managing target",
		"mgmt: target reported",
		"node: target is gone",
	}
	blockMessages = []string{
		"poison: deciding about a feature",
		"poison: feature blocked; requests with it crashed these targets",
		"poison: trial of a blocked feature claimed",
		"poison: feature cleared",
	}
)

// isBlockChange reports whether a line records, on any instance, why one of the features
// was blocked or tried.
func isBlockChange(l logLine, features map[string]bool) bool {
	f := l.stringField("feature")
	return f != "" && features[f] && slices.Contains(blockMessages, l.stringField("message"))
}

// isStateChange reports whether a line records a change of the state that requests are decided
// by: the configuration, the share of the limits or the role as store reader of an instance in
// sources, or the state of a target in targets as logged by any instance.
func isStateChange(l logLine, sources, targets map[string]bool) bool {
	message := l.stringField("message")
	if slices.Contains(instanceMessages, message) {
		return sources[l.source]
	}
	t := l.stringField("target")
	return t != "" && targets[t] && slices.Contains(targetMessages, message)
}

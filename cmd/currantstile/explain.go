package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

const usageExplain = `
currantstile explain REQUEST-ID FILE...

Reads the logs of one or more instances and prints what they say of a request, in
order of time, each line with its instance; before them, what each instance that
wrote of it believed last: its configuration, its part of the limits, its view of
the target that the request went to. FILE is a log as currantstile node writes it;
- is standard input. What stands before a line's JSON object, such as a time and an
instance's name added by whoever collected the logs, is kept as its instance.

Example:
  currantstile explain 9c41d07be2a35f68 entry-0.log entry-1.log
`

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logLine is one line of a log.
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

func runExplain(_ context.Context, args []string, out, _ io.Writer) error {
	fs := newFlags("explain")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if fs.NArg() < 2 {
		return &usageError{
			command: "explain",
			message: "needs a request's id and at least one log",
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
	story := requestLines(id, lines)
	if len(story) == 0 {
		return errors.Errorf("no line of the logs speaks of request %s", id)
	}
	for _, l := range story {
		fmt.Fprintf(out, "%s  %s  %s\n", l.time, l.source, l.text)
	}
	return nil
}

// readLog reads a log; lines without a JSON object are passed over.
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

// formatMessage writes a line's message and its fields by name.
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

// requestLines picks the lines of a request, and the last one before them of each thing
// that decided it.
func requestLines(id string, lines []logLine) []logLine {
	sources, targets := make(map[string]bool), make(map[string]bool)
	first := -1
	for i, l := range lines {
		if l.stringField("request") != id {
			continue
		}
		if first < 0 {
			first = i
		}
		sources[l.source] = true
		targets[l.stringField("target")] = true
	}
	if first < 0 {
		return nil
	}
	beliefs := make(map[string]logLine)
	var story []logLine
	for i, l := range lines {
		switch {
		case l.stringField("request") == id:
			story = append(story, l)
		case i < first && isStateChange(l, sources, targets):
			beliefs[l.source+l.stringField("message")+l.stringField("target")] = l
		}
	}
	before := make([]logLine, 0, len(beliefs))
	for _, l := range beliefs {
		before = append(before, l)
	}
	sort.Slice(before, func(i, j int) bool {
		return before[i].time < before[j].time
	})
	return append(before, story...)
}

// isStateChange reports whether a line tells what an instance believed that decides
// requests.
func isStateChange(l logLine, sources, targets map[string]bool) bool {
	switch l.stringField("message") {
	case "node: configuration in force", "limits: part of all limits changed, in millionths", "feed: role changed":
		return sources[l.source]
	case "node: target changed", "lead: managing target", "mgmt: target reported", "node: target is gone":
		t := l.stringField("target")
		return t != "" && targets[t]
	default:
		return false
	}
}

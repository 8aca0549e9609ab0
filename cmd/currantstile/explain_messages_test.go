package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log messages that are reworded where they are written, so that explain no
// longer finds them.
func TestExplainedMessagesAreLogged(t *testing.T) {
	const root = "../.."
	var sources strings.Builder
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasPrefix(path, filepath.Join(root, "cmd")) {
			return err
		}
		b, err := os.ReadFile(path)
		sources.Write(b)
		return err
	}))
	for _, message := range slices.Concat(instanceMessages, targetMessages, blockMessages) {
		require.True(t, strings.Contains(sources.String(), strconv.Quote(message)), message)
	}
}

// Guards against lines that explain leaves out or prints for requests that they do not concern.
func TestExplainSelectsStateOfRequest(t *testing.T) {
	line := func(source, message string, fields map[string]any) logLine {
		fields["message"] = message
		return logLine{
			source: source,
			text:   message,
			fields: fields,
		}
	}
	var lines []logLine
	for _, m := range instanceMessages {
		lines = append(lines, line("a", m, map[string]any{}), line("b", m, map[string]any{}))
	}
	for _, m := range targetMessages {
		lines = append(lines, line("b", m, map[string]any{"target": "t1"}), line("b", m, map[string]any{"target": "t2"}))
	}
	for _, m := range blockMessages {
		lines = append(lines, line("b", m, map[string]any{"feature": "f1"}), line("b", m, map[string]any{"feature": "f2"}))
	}
	lines = append(lines, line("a", "gate: request", map[string]any{"request": "r1", "target": "t1", "feature": "f1"}))
	var got []string
	for _, l := range requestLines("r1", lines) {
		got = append(got, l.text)
	}
	require.ElementsMatch(t, slices.Concat(instanceMessages, targetMessages, blockMessages, []string{"gate: request"}), got)
}

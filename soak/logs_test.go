package soak

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// reportPrefixes are the beginnings of lines by which the runtime reports a data race, or why it
// ends the process.
var reportPrefixes = []string{
	"WARNING: DATA RACE",
	"fatal error: ",
	"panic: ",
}

// reportLines is the number of lines of a report that are kept.
const reportLines = 30

// runtimeReports returns the reports of the runtime in an instance's log file.
func runtimeReports(path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var reports []string
	left := 0
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case left > 0:
			left--
			reports[len(reports)-1] += "\n" + line
		case startsReport(line):
			reports = append(reports, line)
			left = reportLines
		}
	}
	return reports, lines.Err()
}

func startsReport(line string) bool {
	for _, p := range reportPrefixes {
		if strings.HasPrefix(line, p) {
			return true
		}
	}
	return false
}

// logViolations returns the reports of the runtime in the logs of all instances, which must
// have been stopped.
func (e *testEnv) logViolations() []string {
	var violations []string
	for i, n := range e.instances {
		reports, err := runtimeReports(n.logFile.Name())
		if err != nil {
			violations = append(violations, fmt.Sprintf("reading the log of instance %d failed: %v", i, err))
		}
		for _, r := range reports {
			violations = append(violations, fmt.Sprintf("instance %d: %s", i, r))
		}
	}
	return violations
}

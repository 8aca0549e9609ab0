package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLog = `
-9.3 entry-0 {"time":"2026-12-04T08:00:00.1Z","level":"info","configuration":4,"message":"node: configuration in force"}
-8.0 entry-1 {"time":"2026-12-04T08:00:00.2Z","level":"info","configuration":4,"message":"node: configuration in force"}
-7.0 entry-1 {"time":"2026-12-04T08:00:00.3Z","level":"info","target":"t1","fence":7,"message":"lead: managing target"}
-6.0 entry-1 {"time":"2026-12-04T08:00:00.4Z","level":"info","target":"t2","fence":8,"message":"lead: managing target"}
no object here
1.0 entry-0 {"time":"2026-12-04T08:00:09.1Z","level":"info","request":"r1","target":"t1","status":421,"message":"gate: target ran nothing"}
1.1 entry-0 {"time":"2026-12-04T08:00:09.2Z","level":"info","request":"r2","target":"t2","status":200,"message":"gate: request"}
1.15 entry-0 {"time":"2026-12-04T08:00:09.25Z","level":"info","target":"t1","ended":true,"starting":"r7 r1","message":"gate: target interrupted requests"}
1.16 entry-0 {"time":"2026-12-04T08:00:09.26Z","level":"info","target":"t1","ended":true,"starting":"r7 r11","message":"gate: target interrupted requests"}
1.2 entry-0 {"time":"2026-12-04T08:00:09.3Z","level":"info","request":"r1","target":"t1","status":503,"reason":"no-adapter-slot","message":"gate: request"}
`

// Guards against an explanation that omits lines of the request or the earlier state of its
// instance and target, or that includes lines of other requests and targets.
func TestExplain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(testLog), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, exitOK, run([]string{"explain", "r1", path}, &out, &errOut), errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 5)
	require.Contains(t, lines[0], "entry-0  node: configuration in force configuration=4")
	require.Contains(t, lines[1], "lead: managing target fence=7 target=t1")
	require.Contains(t, lines[2], "gate: target ran nothing")
	require.Contains(t, lines[3], "starting=r7 r1")
	require.Contains(t, lines[4], "reason=no-adapter-slot")
	require.Equal(t, exitFailed, run([]string{"explain", "nobody", path}, &out, &errOut))
	require.Equal(t, exitUsage, run([]string{"explain", "r1"}, &out, &errOut))
	require.Equal(t, exitFailed, run([]string{"explain", "r1", path + "x"}, &out, &errOut))
}

// Guards against reporting only the first error of a settings file.
func TestNodeReportsEverySettingsError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.yaml")
	require.NoError(t, os.WriteFile(path, []byte("zone: buchs\n"), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, exitUsage, run([]string{"node", "-settings", path}, &out, &errOut))
	for _, want := range []string{"node_name", "listen_addresses.frontend", "platform.address", "internal_port_range"} {
		require.Contains(t, errOut.String(), want)
	}
	require.Equal(t, exitUsage, run([]string{"node", "-settings", "", "-log-level", "loud"}, &out, &errOut))
}

const blockLog = `
1.0 entry-1 {"time":"2026-12-04T08:00:01Z","feature":"part/x","targets":"t1 t2 t3","by":"entry-1","message":"poison: feature blocked; requests with it crashed these targets"}
1.0 entry-1 {"time":"2026-12-04T08:00:01Z","feature":"part/y","targets":"t4","by":"entry-1","message":"poison: feature blocked; requests with it crashed these targets"}
2.0 entry-0 {"time":"2026-12-04T08:00:02Z","request":"r1","feature":"part/x","status":503,"reason":"crashes-targets","message":"gate: request"}
`

// Guards against a refused request whose explanation does not say which feature was blocked on
// what evidence.
func TestExplainBlockedFeature(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(blockLog), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, exitOK, run([]string{"explain", "r1", path}, &out, &errOut), errOut.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "targets=t1 t2 t3")
	require.Contains(t, lines[1], "reason=crashes-targets")
}

package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRuntimeReports guards against reports of the runtime that the soak overlooks.
func TestRuntimeReports(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	const text = `{"message":"node: started"}
==================
WARNING: DATA RACE
Read at 0x00c000123456 by goroutine 7:
==================
{"message":"panic: within a message"}
`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	reports, err := runtimeReports(path)
	require.NoError(t, err)
	require.Len(t, reports, 1)
	require.Contains(t, reports[0], "by goroutine 7")

	for _, line := range []string{"fatal error: concurrent map writes\n", "panic: assignment to entry in nil map\n"} {
		require.NoError(t, os.WriteFile(path, []byte(line), 0o600))
		reports, err = runtimeReports(path)
		require.NoError(t, err)
		require.Len(t, reports, 1, line)
	}
}

package itest_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// layers from the lowest to the highest. A package imports only packages of
// lower layers, and of its own layer.
var layers = [][]string{
	{"model", "errs", "metric", "shard", "store", "memkv", "clock", "config", "fleet"},
	{"commit", "member", "dedup", "allot", "quota", "cache", "route", "sched", "watch", "elect"},
	{"wire", "call"},
	{"rest", "httpd", "remote", "peer", "engine", "loader", "send", "broker", "public", "admin", "origin", "driver", "proxy"},
	{"node", "platform"},
	{"daemon", "sims", "demo", "trial", "itest", "soak", "cmd"},
}

func layerOf(name string) int {
	top, _, _ := strings.Cut(name, "/")
	for i, l := range layers {
		for _, p := range l {
			if p == top {
				return i
			}
		}
	}
	return -1
}

// Imports go downward only, no package lies in internal/, and the coordination
// packages open no sockets and start no processes.
func TestLayers(t *testing.T) {
	const root = ".."
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		require.NoError(t, err)
		own := layerOf(filepath.ToSlash(rel))
		require.GreaterOrEqual(t, own, 0, "%s is in no layer", rel)
		require.NotContains(t, rel, "internal")
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, spec := range f.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			require.NotEqual(t, "os/exec", name, "%s starts processes", path)
			if own <= 1 {
				require.NotContains(t, []string{"net", "net/http", "net/rpc"}, name, "%s opens sockets", path)
			}
			if local, ok := strings.CutPrefix(name, "currantstile/"); ok {
				if local == "platform" {
					require.True(t, strings.HasPrefix(filepath.ToSlash(rel), "cmd/"), "%s imports platform", path)
				}
				require.LessOrEqual(t, layerOf(local), own, "%s imports %s", path, name)
			}
		}
		return nil
	})
	require.NoError(t, err)
}

package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReplayArguments(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{
			args: "-list",
			want: "pattern long",
		},
		{
			args: "-pattern none",
			code: exitFailed,
			want: "no such pattern",
		},
		{
			args: "-seeds 0",
			code: exitUsage,
			want: "at least 1",
		},
		{
			args: "-pattern long -policy in-force -seeds 1",
			want: "overnight",
		},
	} {
		var out bytes.Buffer
		require.Equal(t, c.code, run(append([]string{"replay"}, strings.Fields(c.args)...), &out, &out), c.args)
		require.Contains(t, out.String(), c.want, c.args)
	}
}

// Guards against experiments that go on when they are interrupted.
func TestReplayStopsWhenInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, runReplay(ctx, nil, io.Discard, io.Discard), context.Canceled)
}

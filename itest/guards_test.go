package itest_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var playGuards = flag.Bool("guards", false, "take out each rule's guard in a copy and require that its test fails; takes minutes")

// guard is an edit that takes out what keeps a rule, and the test that must fail then.
type guard struct {
	rule string
	file string
	// old stands once in the file and is replaced by new.
	old, new string
	pkg      string
	test     string
}

// guards are the rows of docs/PROOFS.md, "A guard for each rule".
var guards = slices.Concat(answerGuards, fleetGuards)

// answerGuards keep the rules for answers.
var answerGuards = []guard{
	{
		rule: "MIXED: signature",
		file: "proxy/relay.go",
		old:  "if !info.Signed {",
		new:  "if false {",
		pkg:  "platform",
		test: "TestSendStepsAndFaults",
	},
	{
		rule: "MIXED: request ID",
		file: "proxy/exchange.go",
		old:  `info.RequestID != x.Request.ID && (info.RequestID != "" || resp.Reused())`,
		new:  "false",
		pkg:  "platform",
		test: "TestSendStepsAndFaults",
	},
	{
		rule: "MIXED: whole body",
		file: "stream/ending.go",
		old:  "case e.Err != io.EOF:",
		new:  "case e.Err == io.ErrNoProgress:",
		pkg:  "stream",
		test: "TestEveryEndingIsJudged",
	},
	{
		rule: "MIXED: encoded body",
		file: "proxy/relay.go",
		old:  `resp.Header.Get("Content-Encoding") != ""`,
		new:  "false",
		pkg:  "platform",
		test: "TestResponseOutcomes",
	},
	{
		rule: "MIXED: encoded stream",
		file: "stream/ending.go",
		old:  "case h.Encoded:",
		new:  "case false:",
		pkg:  "platform",
		test: "TestEncodedStreamIsBrokenOff",
	},
	{
		rule: "MIXED: bytes after the end",
		file: "origin/origin.go",
		old:  "|| r.conn.br.Buffered() > 0",
		new:  "",
		pkg:  "origin",
		test: "TestConnectionReuse",
	},
	{
		rule: "MIXED: resets",
		file: "socket/tcp.go",
		old:  "if c.failure != nil {",
		new:  "if false {",
		pkg:  "socket",
		test: "TestResetReportedToWriteIsReportedToReads",
	},
	{
		rule: "MIXED: resets behind the end",
		file: "socket/tcp.go",
		old:  "if c.failure == nil && isReset(c) {",
		new:  "if false {",
		pkg:  "socket",
		test: "TestResetBehindEndIsReported",
	},
	{
		rule: "MIXED: names of fields",
		file: "origin/origin.go",
		old:  "err = c.head.Err()",
		new:  "err = nil",
		pkg:  "origin",
		test: "TestBlankInFieldNameIsAnError",
	},
	{
		rule: "MIXED: names of fields, services",
		file: "rest/rest.go",
		old:  "return c.headErr()",
		new:  "return nil",
		pkg:  "engine",
		test: "TestBlankInFieldNameIsUnknown",
	},
	{
		rule: "MIXED: line breaks",
		file: "stream/headcheck.go",
		old:  "case h.endsInCR != h.breaksInCR:",
		new:  "case false:",
		pkg:  "platform",
		test: "TestFaultyFieldNameIsNoAnswer",
	},
	{
		rule: "MIXED: promises of targets",
		file: "proxy/relay.go",
		old:  "if promisesNotExecuted(resp.StatusCode) {",
		new:  "if false {",
		pkg:  "platform",
		test: "TestSendStepsAndFaults",
	},
	{
		rule: "UNASKED: stripped headers",
		file: "platform/codec.go",
		old:  "range strippedHeaders {",
		new:  "range strippedHeaders[:0] {",
		pkg:  "platform",
		test: "TestForwardedRequest",
	},
	{
		rule: "UNASKED: organisation",
		file: "platform/codec.go",
		old:  `if o.Organisation != "" {`,
		new:  "if false {",
		pkg:  "platform",
		test: "TestForwardedRequest",
	},
	{
		rule: "TWICE: kind of route",
		file: "proxy/exchange.go",
		old:  "if !x.Route.Repeatable() && !(x.Route.Resumable && x.Route.Kind == config.KindStream) {",
		new:  "if false {",
		pkg:  "proxy",
		test: "TestWhatMayBeSentAgain",
	},
	{
		rule: "TWICE: idle connections",
		file: "proxy/exchange.go",
		old:  "const nonRepeatableMaxIdle = time.Second",
		new:  "const nonRepeatableMaxIdle = time.Hour",
		pkg:  "platform",
		test: "TestIdleConnectionIsNotUsedForABooking",
	},
	{
		rule: "TWICE, REFUSED: refusal once more",
		file: "origin/idle.go",
		old:  `if id != "" && slices.Contains(c.refused, id) {`,
		new:  "if false {",
		pkg:  "platform",
		test: "TestRefusalWrittenOnceMoreIsNotBelieved",
	},
	{
		rule: "REFUSED: may have run",
		file: "proxy/exchange.go",
		old:  "\t\t\tx.maybeExecuted = true\n",
		new:  "",
		pkg:  "platform",
		test: "TestSendStepsAndFaults",
	},
	{
		rule: "DENIED: no configuration",
		file: "proxy/proxy.go",
		old:  "\t\t\tStatus:     http.StatusServiceUnavailable,\n\t\t\tReason:     \"no-configuration\",",
		new:  "\t\t\tStatus:     http.StatusNotFound,\n\t\t\tReason:     \"no-configuration\",",
		pkg:  "platform",
		test: "TestStartWithoutConfiguration",
	},
	{
		rule: "BUDGET: targets of one request",
		file: "proxy/exchange.go",
		old:  "executions >= max(x.Route.MaxTargets, 1)",
		new:  "false",
		pkg:  "proxy",
		test: "TestWhatMayBeSentAgain",
	},
	{
		rule: "BUDGET: retries of the fleet",
		file: "proxy/exchange.go",
		old:  "return x.gate.Router.AllowRetry(time.Now(), x)",
		new:  "return true",
		pkg:  "proxy",
		test: "TestWhatMayBeSentAgain",
	},
	{
		rule: "BUDGET: time left",
		file: "platform/codec.go",
		old:  "strconv.FormatInt(max(o.Timeout.Milliseconds(), 1), 10)",
		new:  `"60000"`,
		pkg:  "platform",
		test: "TestForwardedRequest",
	},
	{
		rule: "BUDGET: crashing requests",
		file: "proxy/crash.go",
		old:  "case poison.Blocked:\n\t\tx.blockedBy = d.Feature\n\t\treturn &Refusal{",
		new:  "case poison.Blocked:\n\t\treturn nil\n\t\treturn &Refusal{",
		pkg:  "platform",
		test: "TestCrashingLookupIsRecognised",
	},
	{
		rule: "BUDGET: pushback",
		file: "avail/book.go",
		old:  "case now.Before(r.pushedUntil.Add(r.stagger)):",
		new:  "case false:",
		pkg:  "avail",
		test: "TestFleetObeysAnswersOfTargets",
	},
	{
		rule: "BUDGET: longest pushback counts",
		file: "avail/book.go",
		old:  "if !until.After(r.pushedUntil) {",
		new:  "if false {",
		pkg:  "avail",
		test: "TestStateOfATarget",
	},
	{
		rule: "BUDGET: pushback, all ways",
		file: "avail/book.go",
		old:  "_, ok := b.State(now, view, t).(Open)",
		new:  "ok := true",
		pkg:  "platform",
		test: "TestPushbackIsObeyed",
	},
	{
		rule: "GONE: cancelled requests",
		file: "origin/origin.go",
		old:  "stop := context.AfterFunc(ctx, c.reset)",
		new:  "stop := func() bool { return true }",
		pkg:  "origin",
		test: "TestCancelResetsConnection",
	},
	{
		rule: "LOST: drain before the end",
		file: "node/node.go",
		old:  "\tn.gate.Drain(until)\n",
		new:  "",
		pkg:  "platform",
		test: "TestStopAnswersWhatWasAccepted",
	},
	{
		rule: "CONFIG: older versions",
		file: "node/sources.go",
		old:  "old != nil && old.Version >= cfg.Version",
		new:  "false",
		pkg:  "node",
		test: "TestOvertakenConfigurationIsNotApplied",
	},
	{
		rule: "ROUTE: expected target",
		file: "platform/codec.go",
		old:  "\th[headerExpectInstance] = []string{o.Target}\n",
		new:  "",
		pkg:  "platform",
		test: "TestForwardedRequest",
	},
	{
		rule: "ROUTE: unknown keys",
		file: "proxy/proxy.go",
		old:  "return g.deny(now, cfg, http.StatusUnauthorized, \"unknown-key\")",
		new:  "x.Org = nil",
		pkg:  "platform",
		test: "TestRefusals",
	},
	{
		rule: "DRAIN: by the store",
		file: "avail/book.go",
		old:  "case t.Draining:",
		new:  "case false:",
		pkg:  "avail",
		test: "TestStateOfATarget",
	},
	{
		rule: "DRAIN: by answers",
		file: "avail/book.go",
		old:  "case !r.leavingSince.IsZero():",
		new:  "case false:",
		pkg:  "avail",
		test: "TestFleetObeysAnswersOfTargets",
	},
	{
		rule: "DRAIN: runs of a target",
		file: "avail/book.go",
		old:  "\t\tstarted: t.Started,\n",
		new:  "",
		pkg:  "avail",
		test: "TestStateOfATarget",
	},
	{
		rule: "DRAIN: right before it is sent",
		file: "proxy/exchange.go",
		old:  "if !x.gate.Router.isStillValid(place, x.Request.AdapterName()) {",
		new:  "if false {",
		pkg:  "proxy",
		test: "TestChosenTargetIsNotUsedOnceClosed",
	},
	{
		rule: "DRAIN: the manager knows",
		file: "driver/driver.go",
		old:  "case n.Leaving:",
		new:  "case false:",
		pkg:  "driver",
		test: "TestClosedTargetAdmitsNothing",
	},
	{
		rule: "EVAC",
		file: "avail/book.go",
		old:  "case view.ZoneDisabled(t.Zone):",
		new:  "case false:",
		pkg:  "platform",
		test: "TestDrainingTargets",
	},
	{
		rule: "ORDER: other answers",
		file: "stream/ending.go",
		old:  "case first != nil && h != *first:",
		new:  "case false:",
		pkg:  "platform",
		test: "TestOnlyTheSameStreamContinues",
	},
	{
		rule: "ORDER: IDs of events",
		file: "stream/splitter.go",
		old:  "if !s.current.isEvent || s.earlier == 0 {",
		new:  "if true {",
		pkg:  "platform",
		test: "TestOnlyTheSameStreamContinues",
	},
	{
		rule: "ORDER: half events",
		file: "stream/ending.go",
		old:  "case e.HasEvents && e.Unfinished:",
		new:  "case false:",
		pkg:  "stream",
		test: "TestEveryEndingIsJudged",
	},
}

// Takes out each guard in a copy of the tree and requires that the named test fails for it. It runs
// by hand: go test ./itest -run TestGuards -guards -v -timeout 60m
func TestGuards(t *testing.T) {
	if !*playGuards {
		t.Skip("runs by hand, with -guards")
	}
	root := t.TempDir()
	require.NoError(t, os.CopyFS(root, os.DirFS("..")))
	for _, g := range guards {
		t.Run(g.rule, func(t *testing.T) {
			path := filepath.Join(root, g.file)
			whole, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(whole), g.old), "the guard stands once in %s", g.file)
			defer func() {
				require.NoError(t, os.WriteFile(path, whole, 0o600))
			}()
			require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(whole), g.old, g.new, 1)), 0o600))
			cmd := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-count", "1", "-timeout", "3m", "-run", "^"+g.test+"$", "./"+g.pkg)
			cmd.Dir = root
			out, err := cmd.CombinedOutput()
			require.NotContains(t, string(out), "[build failed]")
			require.NotContains(t, string(out), "no tests to run")
			require.Error(t, err, "%s passes without the guard", g.test)
			require.Contains(t, string(out), "FAIL")
		})
	}
}

// Guards against a page that lists other guards than the test.
func TestGuardsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	require.NoError(t, err)
	for _, g := range guards {
		source, err := os.ReadFile(filepath.Join("..", g.file))
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(source), g.old), "the guard of %s stands once in %s", g.rule, g.file)
		require.Contains(t, string(page), "| "+g.rule+" | `"+g.file+"` | `"+g.pkg+"."+g.test+"` |\n")
	}
}

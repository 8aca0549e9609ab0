package admin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"currantstile/commit"
	"currantstile/model"
	"currantstile/wire"
)

// Verdict says whether a promise held.
type Verdict string

// The verdicts on a promise.
const (
	VerdictHeld        Verdict = "held"
	VerdictBroken      Verdict = "broken"
	VerdictNotObserved Verdict = "not observed"
)

// PromiseResult is one promise in a report.
type PromiseResult struct {
	Promise string  `json:"promise"`
	Verdict Verdict `json:"verdict"`
	// Evidence says what the verdict rests on.
	Evidence string `json:"evidence"`
}

// OrgTotals is one organisation's counts over the instances that answered.
type OrgTotals struct {
	Organisation model.OrgID `json:"organisation"`
	Complete     int64       `json:"complete"`
	NotRun       int64       `json:"not-run"`
	RefusedRate  int64       `json:"refused-rate"`
	Failed       int64       `json:"failed"`
	Unknown      int64       `json:"unknown"`
}

// Report is the short account of the fleet.
type Report struct {
	At            time.Time          `json:"at"`
	Revision      commit.Revision    `json:"revision"`
	Promises      []PromiseResult    `json:"promises"`
	Organisations []OrgTotals        `json:"organisations"`
	Out           model.Outages      `json:"out"`
	Unresponsive  []model.InstanceID `json:"silent"`
}

// configurationDeadline is how soon an accepted configuration must be in force.
const configurationDeadline = 7 * time.Second

func (s *Server) handleReport(ctx context.Context, c *app.RequestContext) {
	now := time.Now()
	status := s.fleetStatus(ctx, now)
	r := Report{
		At:            now.UTC().Truncate(time.Second),
		Revision:      status.Revision,
		Promises:      []PromiseResult{checkConfiguration(now, s.View(), status)},
		Organisations: orgTotals(status),
		Out:           status.Out,
		Unresponsive:  []model.InstanceID{},
	}
	for _, in := range status.Instances {
		if !in.Answered {
			r.Unresponsive = append(r.Unresponsive, in.ID)
		}
	}
	c.JSON(http.StatusOK, r)
}

// checkConfiguration judges whether the accepted configuration is in force
// everywhere. An instance that does not answer is not counted as held.
func checkConfiguration(now time.Time, v *commit.View, status FleetStatus) PromiseResult {
	line := PromiseResult{
		Promise: "configuration in force everywhere",
		Verdict: VerdictHeld,
	}
	var behind []string
	answered := 0
	for _, in := range status.Instances {
		if !in.Answered {
			continue
		}
		answered++
		if in.Revision < status.Revision {
			behind = append(behind, string(in.ID))
		}
	}
	line.Evidence = fmt.Sprintf("%d of %d instances at revision %d", answered-len(behind), len(status.Instances), status.Revision)
	settled := now.Sub(v.AcceptedAt) > configurationDeadline
	switch {
	case len(behind) > 0 && settled:
		line.Verdict = VerdictBroken
		line.Evidence += "; behind: " + strings.Join(behind, ", ")
	case len(behind) > 0 || answered < len(status.Instances) || answered == 0:
		line.Verdict = VerdictNotObserved
	}
	return line
}

func orgTotals(status FleetStatus) []OrgTotals {
	sums := make(map[model.OrgID]*OrgTotals)
	for _, in := range status.Instances {
		for _, counts := range in.Organisations {
			addCounts(sums, counts)
		}
	}
	lines := make([]OrgTotals, 0, len(sums))
	for _, l := range sums {
		lines = append(lines, *l)
	}
	sort.Slice(lines, func(i, j int) bool {
		return lines[i].Organisation < lines[j].Organisation
	})
	return lines
}

func addCounts(sums map[model.OrgID]*OrgTotals, counts wire.OrgCounts) {
	l, ok := sums[counts.Organisation]
	if !ok {
		l = &OrgTotals{
			Organisation: counts.Organisation,
		}
		sums[counts.Organisation] = l
	}
	l.Complete += counts.Complete
	l.NotRun += counts.NotRun
	l.RefusedRate += counts.RefusedRate
	l.Failed += counts.Failed
	l.Unknown += counts.Unknown
}

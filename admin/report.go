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

// PromiseLine is one promise in a report.
type PromiseLine struct {
	Promise string  `json:"promise"`
	Verdict Verdict `json:"verdict"`
	// Evidence says what the verdict rests on.
	Evidence string `json:"evidence"`
}

// OrgLine is one organisation's counts over the instances that answered.
type OrgLine struct {
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
	Promises      []PromiseLine      `json:"promises"`
	Organisations []OrgLine          `json:"organisations"`
	Out           model.Outages      `json:"out"`
	Silent        []model.InstanceID `json:"silent"`
}

// inForceWithin is how soon an accepted configuration must be in force.
const inForceWithin = 7 * time.Second

func (s *Server) handleReport(ctx context.Context, c *app.RequestContext) {
	now := time.Now()
	status := s.status(ctx, now)
	r := Report{
		At:            now.UTC().Truncate(time.Second),
		Revision:      status.Revision,
		Promises:      []PromiseLine{configurationLine(now, s.View(), status)},
		Organisations: orgLines(status),
		Out:           status.Out,
		Silent:        []model.InstanceID{},
	}
	for _, in := range status.Instances {
		if !in.Answered {
			r.Silent = append(r.Silent, in.ID)
		}
	}
	c.JSON(http.StatusOK, r)
}

// configurationLine judges whether the accepted configuration is in force
// everywhere. An instance that does not answer is not counted as held.
func configurationLine(now time.Time, v *commit.View, status FleetStatus) PromiseLine {
	line := PromiseLine{
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
	settled := now.Sub(v.AcceptedAt) > inForceWithin
	switch {
	case len(behind) > 0 && settled:
		line.Verdict = VerdictBroken
		line.Evidence += "; behind: " + strings.Join(behind, ", ")
	case len(behind) > 0 || answered < len(status.Instances) || answered == 0:
		line.Verdict = VerdictNotObserved
	}
	return line
}

func orgLines(status FleetStatus) []OrgLine {
	sums := make(map[model.OrgID]*OrgLine)
	for _, in := range status.Instances {
		for _, counts := range in.Organisations {
			addCounts(sums, counts)
		}
	}
	lines := make([]OrgLine, 0, len(sums))
	for _, l := range sums {
		lines = append(lines, *l)
	}
	sort.Slice(lines, func(i, j int) bool {
		return lines[i].Organisation < lines[j].Organisation
	})
	return lines
}

func addCounts(sums map[model.OrgID]*OrgLine, counts wire.OrgCounts) {
	l, ok := sums[counts.Organisation]
	if !ok {
		l = &OrgLine{
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

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

// Verdict is the result of checking a promise, a service-level objective of the fleet.
type Verdict string

// The verdicts on a promise. VerdictNotObserved means that too few instances responded,
// or that the deadline has not passed yet, so that the promise is neither held nor broken.
const (
	VerdictHeld        Verdict = "held"
	VerdictBroken      Verdict = "broken"
	VerdictNotObserved Verdict = "not observed"
)

// PromiseResult is the result of checking one promise.
type PromiseResult struct {
	Promise string  `json:"promise"`
	Verdict Verdict `json:"verdict"`
	// Evidence gives the observations that the verdict is based on, as text.
	Evidence string `json:"evidence"`
}

// OrgTotals is one organisation's request counts, summed over the instances that
// responded.
type OrgTotals struct {
	Organisation model.OrgID `json:"organisation"`
	Complete     int64       `json:"complete"`
	NotRun       int64       `json:"not-run"`
	// RefusedRate counts the requests rejected because of the rate, which NotRun includes.
	RefusedRate int64 `json:"refused-rate"`
	Failed      int64 `json:"failed"`
	Unknown     int64 `json:"unknown"`
}

// Report is a summary of the fleet's state. Unresponsive lists the instances that did
// not respond to the status call.
type Report struct {
	At            time.Time          `json:"at"`
	Revision      commit.Revision    `json:"revision"`
	Promises      []PromiseResult    `json:"promises"`
	Organisations []OrgTotals        `json:"organisations"`
	Out           model.Outages      `json:"out"`
	Unresponsive  []model.InstanceID `json:"silent"`
}

// configurationDeadline is the time after acceptance within which a configuration must be
// in force on all instances.
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
	for _, instance := range status.Instances {
		if !instance.Answered {
			r.Unresponsive = append(r.Unresponsive, instance.ID)
		}
	}
	c.JSON(http.StatusOK, r)
}

// checkConfiguration checks whether the accepted configuration is in force on all
// instances. While an instance does not respond, the promise is never reported as held.
func checkConfiguration(now time.Time, v *commit.View, status FleetStatus) PromiseResult {
	result := PromiseResult{
		Promise: "configuration in force everywhere",
		Verdict: VerdictHeld,
	}
	var behind []string
	answered := 0
	for _, instance := range status.Instances {
		if !instance.Answered {
			continue
		}
		answered++
		if instance.Revision < status.Revision {
			behind = append(behind, string(instance.ID))
		}
	}
	result.Evidence = fmt.Sprintf("%d of %d instances at revision %d",
		answered-len(behind), len(status.Instances), status.Revision)
	overdue := now.Sub(v.AcceptedAt) > configurationDeadline
	switch {
	case len(behind) > 0 && overdue:
		result.Verdict = VerdictBroken
		result.Evidence += "; behind: " + strings.Join(behind, ", ")
	case len(behind) > 0 || answered < len(status.Instances) || answered == 0:
		result.Verdict = VerdictNotObserved
	}
	return result
}

func orgTotals(status FleetStatus) []OrgTotals {
	totals := make(map[model.OrgID]*OrgTotals)
	for _, instance := range status.Instances {
		for _, counts := range instance.Organisations {
			addCounts(totals, counts)
		}
	}
	list := make([]OrgTotals, 0, len(totals))
	for _, t := range totals {
		list = append(list, *t)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Organisation < list[j].Organisation
	})
	return list
}

func addCounts(totals map[model.OrgID]*OrgTotals, counts wire.OrgCounts) {
	t, ok := totals[counts.Organisation]
	if !ok {
		t = &OrgTotals{
			Organisation: counts.Organisation,
		}
		totals[counts.Organisation] = t
	}
	t.Complete += counts.Complete
	t.NotRun += counts.NotRun
	t.RefusedRate += counts.RefusedRate
	t.Failed += counts.Failed
	t.Unknown += counts.Unknown
}

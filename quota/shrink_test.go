package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/model"
)

// Guards against requests within the rate that are refused whenever an instance joins: a share that shrinks
// keeps the tokens that fit into it, one that grows gains none, and one that had expired begins with none.
func TestShareThatShrinksKeepsItsTokens(t *testing.T) {
	limits := Limits{
		Rate:  100,
		Burst: 1200,
	}
	for _, tt := range []struct {
		name   string
		weight int64
		after  time.Duration
		want   int64
	}{
		{
			name:   "shrinks",
			weight: TotalWeight / 4,
			want:   300,
		},
		{
			name:   "stays",
			weight: TotalWeight / 2,
			want:   600,
		},
		{
			name:   "grows",
			weight: TotalWeight,
			want:   600,
		},
		{
			name:   "had expired",
			weight: TotalWeight / 2,
			after:  time.Minute,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
			l := NewLedger()
			set := func(weight int64) {
				l.SetBaseShares(now, weight, func(model.OrgID) int64 {
					return weight
				}, now.Add(time.Minute))
			}
			set(TotalWeight / 2)
			require.Zero(t, l.Take(now, "full", limits, 1))
			now = now.Add(30 * time.Second)
			require.Equal(t, int64(10), l.Take(now, "used", limits, 10))
			require.Equal(t, int64(10), l.Take(now, "full", limits, 10))
			l.Refund(now, "full", 10)
			now = now.Add(tt.after)
			set(tt.weight)
			require.Equal(t, tt.want, l.Take(now, "full", limits, 5000))
			require.Equal(t, min(tt.want, 590), l.Take(now, "used", limits, 5000))
		})
	}
}

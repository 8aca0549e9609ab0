package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/fleet"
)

// A view that was taken does not change, and a later one has all changes.
func TestViewsDoNotChange(t *testing.T) {
	b := fleet.NewRegistry()
	b.SetTarget(fleet.Target{
		ID:      "t1",
		Service: "s",
		Zone:    "buchs",
	})
	require.Empty(t, b.View().Service("s"), "nothing is published yet")
	b.Publish()
	before := b.View()
	b.SetTarget(fleet.Target{
		ID:       "t1",
		Service:  "s",
		Zone:     "buchs",
		Draining: true,
	})
	b.SetInstance(fleet.Instance{
		Name: "a",
	})
	b.SetManager("t1", fleet.Manager{
		Instance:     "a",
		FencingToken: 3,
	})
	b.Publish()
	old, _ := before.Target("t1")
	require.True(t, before.Usable(old))
	now, _ := b.View().Target("t1")
	require.False(t, b.View().Usable(now))
	m, ok := b.View().Manager("t1")
	require.True(t, ok)
	require.Equal(t, uint64(3), m.FencingToken)
	_, ok = before.Instance("a")
	require.False(t, ok)
	b.RemoveTarget("t1")
	b.RemoveManager("t1")
	b.Publish()
	require.Zero(t, b.View().TargetCount())
}

func TestClosedDataCentre(t *testing.T) {
	b := fleet.NewRegistry()
	target := &fleet.Target{
		ID:   "t1",
		Zone: "buchs",
	}
	b.SetZoneDisabled("buchs", true)
	b.Publish()
	require.False(t, b.View().Usable(target))
	b.SetZoneDisabled("buchs", false)
	b.Publish()
	require.True(t, b.View().Usable(target))
}

func TestVersionsOnlyGrow(t *testing.T) {
	b := fleet.NewRegistry()
	b.SetVersion("m/a", 4)
	b.SetVersion("m/a", 2)
	b.Publish()
	v, ok := b.View().Version("m/a")
	require.True(t, ok)
	require.Equal(t, uint64(4), v)
}

func TestSameStart(t *testing.T) {
	a := fleet.Target{
		ID:      "t1",
		Started: 1,
	}
	again := a
	again.Started = 2
	require.True(t, a.SameIncarnation(&a))
	require.False(t, a.SameIncarnation(&again))
}

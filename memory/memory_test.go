package memory_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/memory"
)

// Guards against small answers that find no room because many large ones grow without end.
func TestSmallHoldersFindRoomBesideEndlessOnes(t *testing.T) {
	for _, n := range []int{1, 40, 1000} {
		p := memory.NewPool(40 << 20)
		holders := make([]memory.Holder, n)
		for i := range holders {
			holders[i] = p.Holder()
		}
		for grown := true; grown; {
			grown = false
			for i := range holders {
				grown = holders[i].Grow(4<<10) || grown
			}
		}
		small := p.Holder()
		require.True(t, small.Grow(16<<10), "beside %d", n)
		require.LessOrEqual(t, p.Held(), p.Limit())
		require.Positive(t, p.Refused())
		small.Release()
		for i := range holders {
			holders[i].Release()
		}
		require.Zero(t, p.Held())
	}
}

// Guards against a sum of all holders that is above the limit, also when they grow and shrink at once.
func TestHoldersStayWithinTheLimitTogether(t *testing.T) {
	p := memory.NewPool(1000)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			h := p.Holder()
			for j := range 10000 {
				h.Set(int64((i*7919 + j*31) % 600))
				if p.Held() > p.Limit() {
					t.Error("more is held than the limit")
				}
			}
			h.Release()
		})
	}
	wg.Wait()
	require.Zero(t, p.Held())
}

// Guards against answers that find no room because the bodies of requests have taken it.
func TestAnswersHaveRoomOfTheirOwn(t *testing.T) {
	b := memory.NewBudget(256 << 20)
	var bodies []memory.Holder
	for {
		h := b.Bodies.Holder()
		if !h.Grow(4 << 20) {
			break
		}
		bodies = append(bodies, h)
	}
	require.NotEmpty(t, bodies)
	require.True(t, b.Bodies.Crowded())
	answer := b.Answers.Holder()
	require.True(t, answer.Grow(8<<20))
}

// Guards against a refusal that takes bytes, and against a bound where none is set.
func TestRefusedBytesAreNotTaken(t *testing.T) {
	p := memory.NewPool(100)
	h := p.Holder()
	require.False(t, h.Fits(51))
	require.False(t, h.Grow(51))
	require.Zero(t, h.Bytes())
	require.True(t, h.Fits(50))
	require.True(t, h.Grow(50))
	require.False(t, h.Set(51))
	require.EqualValues(t, 50, h.Bytes())
	require.EqualValues(t, 50, p.Held())
	var unbounded memory.Holder
	require.True(t, unbounded.Grow(1<<40))
	require.True(t, (*memory.Holder)(nil).Grow(1<<40))
	require.False(t, (*memory.Pool)(nil).Crowded())
}

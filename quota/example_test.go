package quota_test

import (
	"fmt"
	"time"

	"currantstile/quota"
)

// Two instances share a contract; the one that has used up its share borrows.
func Example() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	expiresAt := now.Add(time.Hour)
	limits := quota.Limits{
		Rate:  100,
		Burst: 1000,
	}
	one, two := quota.NewLedger(), quota.NewLedger()
	one.SetBaseShare(now.Add(-time.Minute), quota.TotalWeight/2, expiresAt)
	two.SetBaseShare(now.Add(-time.Minute), quota.TotalWeight/2, expiresAt)

	short, _ := one.Reserve(now, "gulf-brine", limits, 700).(quota.Insufficient)
	id := one.NewLoan("gulf-brine")
	loan := two.Lend(now, "gulf-brine", limits, "one", id, short.Plan.Weight)
	one.AcceptLoan(now, now, "gulf-brine", limits, "two", loan)
	one.FinishBorrow(now, "gulf-brine", true)

	admitted, ok := one.Reserve(now, "gulf-brine", limits, 700).(quota.Admitted)
	fmt.Println(ok, admitted.Reservation.Tokens)
	one.Settle(now, admitted.Reservation, 250)
	// Output: true 700
}

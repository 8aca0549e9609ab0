package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests to targets that left after an outage of the store, whose deleted entries were
// taken for expired ones; and against the removal of targets whose entries expired in the outage.
func TestDeletedEntryAfterOutage(t *testing.T) {
	returned := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time {
		return returned.Add(time.Duration(ms) * time.Millisecond)
	}
	for _, c := range []struct {
		name string
		deletion
		want time.Time
	}{
		{
			name: "without an outage",
			deletion: deletion{
				seen: returned,
			},
			want: returned,
		},
		{
			name: "found at the store's return",
			deletion: deletion{
				seen:     at(20),
				returned: returned,
			},
			want: at(2400),
		},
		{
			name: "found as the instance still records the outage",
			deletion: deletion{
				seen:     at(-5),
				returned: returned,
			},
			want: at(2400),
		},
		{
			name: "found late",
			deletion: deletion{
				seen:     at(1900),
				returned: returned,
			},
			want: at(2400),
		},
		{
			name: "found when expired entries are back",
			deletion: deletion{
				seen:     at(2401),
				returned: returned,
			},
			want: at(2401),
		},
		{
			name: "of a target that has reached the store again",
			deletion: deletion{
				seen:     at(300),
				renewed:  true,
				returned: returned,
			},
			want: at(300),
		},
		{
			name: "long after an outage",
			deletion: deletion{
				seen:     at(60_000),
				returned: returned,
			},
			want: at(60_000),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, removalTime(c.deletion))
		})
	}
}

// Guards against a wait that goes on after the drain time of a target which left when deletions bind,
// however late the instance noticed the store's return.
func TestWaitForAnEntryEndsWithinTheDrainTime(t *testing.T) {
	const bound = 2 * time.Second
	returned := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	for noticed := time.Duration(0); noticed <= noticeTime; noticed += 50 * time.Millisecond {
		for deleted := 3 * time.Second; deleted <= 6*time.Second; deleted += 50 * time.Millisecond {
			acked := returned.Add(deleted)
			d := deletion{
				seen:     acked,
				returned: returned.Add(noticed),
			}
			require.Less(t, removalTime(d).Add(maintenanceInterval), acked.Add(bound), "noticed after %v, deleted after %v", noticed, deleted)
		}
	}
}

package node

import "time"

const (
	// stableTime is how long after an outage of the store a deletion binds at once.
	stableTime = 3 * time.Second
	// noticeTime is how long after the store's return an instance takes at most to notice it: the
	// longest pause between two calls, and one call without an answer.
	noticeTime = 2300 * time.Millisecond
	// drainTime is how long after such a deletion requests may still reach the target.
	drainTime = 2 * time.Second
	// sendMargin is the part of drainTime that remains for requests which are on their way.
	sendMargin = 50 * time.Millisecond
	// returnTime is how long after the store's return, as the instance noticed it, an entry that may
	// have expired is waited for. The target writes it again within two seconds; a target that leaves
	// once deletions bind gets nothing after its drain time.
	returnTime = stableTime - noticeTime + drainTime - maintenanceInterval - sendMargin
)

// deletion is what is known of the deletion of a target's entry.
type deletion struct {
	// seen is when the instance learned of it.
	seen time.Time
	// renewed is set if the target wrote the entry after the store's return from its last outage.
	renewed bool
	// returned is the end of the store's last outage; zero if there was none.
	returned time.Time
}

// removalTime returns when the target of a deleted entry is to be removed: at once, unless the entry may
// have expired while the store was away.
func removalTime(d deletion) time.Time {
	due := d.returned.Add(returnTime)
	if d.renewed || due.Before(d.seen) {
		return d.seen
	}
	return due
}

package sched

import "time"

// troubled takes in whether a run failed.
func (t *Target) troubled(now time.Time, bad float64) {
	t.trouble = t.troubleNow(now)*(1-troubleGain) + bad*troubleGain
	t.troubleAt = now
}

// troubleNow is the share of runs that fail.
func (t *Target) troubleNow(now time.Time) float64 {
	return t.trouble / (1 + float64(now.Sub(t.troubleAt))/float64(troubleLife))
}

func (t *Target) suspect(now time.Time) {
	if now.Before(t.suspectUntil) {
		return
	}
	t.suspicion = min(max(2*t.suspicion, minSuspicion), maxSuspicion)
	t.suspectUntil = now.Add(t.suspicion)
}

// observe corrects the pace by a first token.
func (t *Target) observe(now time.Time, actual, expected time.Duration) {
	ratio := float64(actual+paceFloor) / float64(expected+paceFloor)
	pace := t.paceNow(now)
	t.pace = min(max(pace*(1-paceGain+paceGain*ratio), minPace), maxPace)
	t.paceAt = now
}

// paceNow is how many times longer than assumed the target takes.
func (t *Target) paceNow(now time.Time) float64 {
	if t.paceAt.IsZero() || t.pace <= 1 {
		return t.pace
	}
	halves := float64(now.Sub(t.paceAt)) / float64(paceLife)
	return 1 + (t.pace-1)/(1+halves)
}

// takeCold takes one request of a cold target's rate.
func (t *Target) takeCold(now time.Time) bool {
	if t.Limits.ColdRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	if t.coldAt.IsZero() {
		t.coldAt = now
		t.coldLevel = 1
	}
	t.coldLevel = min(t.coldLevel+now.Sub(t.coldAt).Seconds()*t.Limits.ColdRate*coldShare, coldBurst)
	t.coldAt = now
	if t.coldLevel < 1 {
		return false
	}
	t.coldLevel--
	return true
}

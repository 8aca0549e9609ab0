package sched

// PrefillTokensPerSecond is how many prompt tokens a target is assumed to read per second.
const PrefillTokensPerSecond = prefillRate * 1000

// Package replay plays patterns of load through the decisions of package sched, in simulated
// time: arrivals, lengths, adapters and faults are drawn from a seed, and a small model of
// targets and of the weight store takes the place of real ones. Thousands of simulated seconds
// take a real one, so that a policy can be compared in a minute before a whole day is played on
// the users' bench.
//
// # Usage
//
//	result := replay.Run(replay.Experiment{Pattern: replay.Patterns()[0], Policy: replay.Policies()[0], Seed: 1})
//	fmt.Println(result.Worth())
package replay

package soak

// RegressionSeed is a seed whose plan once broke a rule, with the number of nodes at which it did.
type RegressionSeed struct {
	Seed  uint64
	Nodes int
}

// RegressionSeeds are played again in each long run.
var RegressionSeeds = []RegressionSeed{
	{1, 8},     // budget, beside load; a discovery that is back and loses calls
	{2, 8},     // budget, beside load
	{3, 8},     // lost: a new connection as the node stops accepting
	{14, 10},   // lost: a kept connection as the node shuts down
	{201, 24},  // two rigs shared a port
	{203, 24},  // drain: a lease that was over opened again
	{220, 24},  // drain: what counted before an outage was forgotten
	{301, 24},  // a list that was truncated counted as delivered
	{401, 24},  // two rigs shared a port
	{1041, 24}, // drain: discovery is back for a moment between two outages
}

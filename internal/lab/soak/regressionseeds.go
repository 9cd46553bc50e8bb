package soak

// RegressionSeed is a seed whose plan once broke a rule, with the number of nodes of that run.
type RegressionSeed struct {
	Seed  uint64
	Nodes int
}

// RegressionSeeds are played in each long run. The comments give the cause, after the name of the broken rule if there is one.
var RegressionSeeds = []RegressionSeed{
	{1, 8},     // budget: on a loaded machine; and discovery did not answer calls after an outage
	{2, 8},     // budget: on a loaded machine
	{3, 8},     // lost: a request on a new connection while the node stopped accepting
	{14, 10},   // lost: a request on a reused connection while the node was shutting down
	{201, 24},  // two parallel soaks used the same port
	{203, 24},  // drain: an expired lease became valid again
	{220, 24},  // drain: what counted before an outage was forgotten
	{301, 24},  // a truncated list counted as delivered
	{401, 24},  // two parallel soaks used the same port
	{1041, 24}, // drain: discovery was briefly available between two outages
}

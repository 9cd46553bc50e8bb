// Package configversion has the rules about configuration versions: at a node, which version it may take and which
// controller it watches; at a controller, how many sessions it has and which it sends elsewhere; for operators, where a
// version is in force. It is pure: no I/O, no clock, no goroutines. Its callers tell it what happened, pass the time and
// random numbers in, and carry out what it returns.
package configversion

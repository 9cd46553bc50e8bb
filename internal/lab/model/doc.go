// Package model contains the parts of the lab's world that need neither a clock nor connections: servers that queue
// requests and share their cores, arrivals of requests, and faults as a list of changes. All functions take the time as
// a parameter and draw from seeded streams. The same calls therefore give the same world, in virtual time and on
// sockets.
package model

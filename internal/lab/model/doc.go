// Package model is the lab's world without its clock and its connections: servers that queue requests and share their
// cores, arrivals of requests, and faults as a list of changes. All functions are given the time and draw from seeded
// streams, so that the same calls give the same world, in virtual time and on sockets alike.
package model

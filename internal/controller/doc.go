// Package controller is the control service: a small cluster of controllers that keeps a replicated log of
// configuration versions and brings the newest one to the nodes.
//
// In go operators' publish requests, nodes' watches and acknowledgements (HTTP, package configapi) and the other
// controllers' log entries (hashicorp/raft over TCP). Out go updates to nodes, replies and each controller's status.
//
// A publish is answered yes once a quorum of controllers has it on disk. Every controller serves its nodes from its own
// copy of the state, also one that is cut off from the quorum, which says so (Update.Current). What a node did with a
// version is kept in memory only, by the controller that has its session.
//
// Package configversion has the rules about placement of sessions; this package does the I/O. cmd/hookwalk is its caller.
// The build for service (tag nolab) has none of it.
package controller

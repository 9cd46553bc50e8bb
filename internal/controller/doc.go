// Package controller is the control service: a small cluster of controllers that keeps a replicated log of
// configuration versions and sends the newest one to the nodes.
//
// Input are operators' publish requests, nodes' watches and acknowledgements (HTTP, package configapi) and the other
// controllers' log entries (hashicorp/raft over TCP). Output are updates to nodes, replies, and the status of each
// controller.
//
// A publish succeeds once a quorum of controllers has it on disk. Every controller serves its nodes from its own copy
// of the state, also one that is cut off from the quorum, which says so (configapi.Update.HasLeaderContact). What a node did
// with a version is held in memory only, by the controller that has its session.
//
// Who owns which state, and where its rules are:
//
//	state.go, fsm.go          the replicated state; only committed log entries change it
//	publish.go                which publish requests are proposed, and what their result is
//	publishrate.go            the rate limit of publish requests
//	disk.go                   the folder: identity, log, snapshots
//	participation.go          how this controller takes part in the cluster (phase)
//	startupdecisions.go       how an empty disk starts; whether a disk is an old copy
//	quorummembership.go       which servers are voters; the leader changes it
//	leadership.go             when this controller leads, and when it is in contact with a leader
//	controllerreports.go      what the other controllers report
//	views.go, watch.go        what nodes are sent
//	nodetable.go              the nodes' sessions and the last report of each node
//	raftstream.go             connections between controllers, and who may use them
//
// Package configversion decides about the placement of sessions. cmd/hookwalk runs a controller; builds for service
// (tag nolab) have none.
package controller

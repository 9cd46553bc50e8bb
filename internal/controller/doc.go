// Package controller implements the control service: a small cluster of controllers that keeps a replicated log of
// configuration versions and sends the newest version to the nodes.
//
// Its inputs are publish requests of operators, watches and acknowledgements of nodes (HTTP, package configapi), and
// log entries of the other controllers (hashicorp/raft over TCP). Its outputs are updates to nodes, replies, and the
// status of each controller.
//
// A publish request succeeds once a quorum of controllers has the version on disk. Every controller serves its nodes
// from its own copy of the state, even while it is cut off from the quorum; its updates then say so
// (configapi.Update.HasLeaderContact). Whether a node has applied or rejected a version is held in memory only, by the
// controller that has the node's session.
//
// The state and the rules are in these files:
//
//	state.go, fsm.go          the replicated state, which only committed log entries change
//	publish.go                which publish requests are proposed, and what their result is
//	publishrate.go            the rate limit of publish requests
//	disk.go                   the folder: identity, log, snapshots
//	participation.go          how this controller takes part in the cluster (phase)
//	startupdecisions.go       how a controller with an empty disk starts; whether a disk is an old copy
//	quorummembership.go       which servers are voters, which the leader decides
//	leadership.go             when this controller leads, and when it is in contact with a leader
//	controllerreports.go      the reports of the other controllers
//	views.go, watch.go        what nodes are sent
//	nodetable.go              the sessions of the nodes, and the last report of each node
//	raftstream.go             connections between controllers, and who may use them
//
// Package configversion decides where sessions are placed. The program in cmd/hookwalk runs a controller; builds for
// service (tag nolab) do not contain this package.
package controller

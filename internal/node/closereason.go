package node

// closeReason says why a connection to a server was closed, and by whom, for the log and the capture.
type closeReason string

// The reasons. All but closedByServer are the node's own.
const (
	notClosed              closeReason = ""                     // it is open
	closedByServer         closeReason = "server"               // it ended or reset the connection
	closedAtDeadline       closeReason = "deadline"             // of the attempt
	closedForIdleTime      closeReason = "idle"                 // the connection was idle for idleTimeout
	closedForRoom          closeReason = "room"                 // another connection needed its descriptor
	closedForRetiredServer closeReason = "server retired"       // its server gets nothing new
	closedForUnasked       closeReason = "unasked bytes"        // the server sent what nobody asked for
	closedForSuspicion     closeReason = "suspicion"            // the server did so on another connection
	closedForResponse      closeReason = "response"             // the response ends the connection, or its end can't be trusted
	closedForRequest       closeReason = "request not sent"     // the request could not be written whole
	closedForStream        closeReason = "stream not passed on" // the client, or the server, broke off a streamed response
	closedForShutdown      closeReason = "shutdown"             // the process ends
)

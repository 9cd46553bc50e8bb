package node

// closeReason is the reason why a connection to a server was closed, for the log and the capture.
type closeReason string

// Reasons for closing a connection. In all cases but closedByServer the node closed it.
const (
	notClosed              closeReason = ""                     // the connection is open
	closedByServer         closeReason = "server"               // the server closed or reset the connection
	closedAtDeadline       closeReason = "deadline"             // the deadline of the attempt was exceeded
	closedForIdleTime      closeReason = "idle"                 // the connection was idle for idleTimeout
	closedForDescriptor    closeReason = "room"                 // another connection needed the descriptor
	closedForMemory        closeReason = "memory"               // more connections were idle than the node's memory allows
	closedForRetiredServer closeReason = "server retired"       // the server gets no new requests
	closedForUnsolicited   closeReason = "unasked bytes"        // the server sent bytes that belong to no request
	closedForSuspicion     closeReason = "suspicion"            // the server sent unsolicited bytes on another connection
	closedForResponse      closeReason = "response"             // the response ends the connection, or its end is uncertain
	closedForUnsentRequest closeReason = "request not sent"     // the request could not be written completely
	closedForBrokenStream  closeReason = "stream not passed on" // a streamed response was not completely forwarded
	closedForShutdown      closeReason = "shutdown"             // the process ends
)

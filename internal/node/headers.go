package node

import (
	"net/http"
	"strings"

	"hookwalk.example/hookwalk/internal/faultinjection"
)

// Headers of the protocol between clients, nodes and servers, under the names that they have on the wire.
const (
	headerRequestID      = "X-Call-Id"       // identifies the request; unique among the open ones of a node
	headerClass          = "X-Call-Class"    // the request class by name
	headerBudget         = "X-Budget"        // the time that is left, by parseBudget's syntax
	headerKey            = "X-Route-Hash"    // requests of one key go to servers in order
	headerTenant         = "X-Caller"        // the tenant
	headerClientRetry    = "X-Again"         // "1": the client sends the request once more
	headerIdempotencyKey = "Idempotency-Key" // of classes that are idempotent with a key
	headerRejected       = "X-Rejected"      // "1" in a response: the server did not run the request
)

// flagSet is the value of a header that is a flag.
const flagSet = "1"

// singleValueHeaders are the headers that say what a request is. Of one that comes twice the node and a server could each
// believe another.
var singleValueHeaders = []string{headerRequestID, headerClass, headerBudget, headerKey, headerTenant,
	headerClientRetry, headerIdempotencyKey, "Content-Length"}

// notForwarded are headers that servers are not sent as they came: those that concern one connection (hop-by-hop), and
// end-to-end ones that the node sets anew or that are for the node alone.
var notForwarded = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", headerBudget, faultinjection.Header}

// forwardable returns the headers of a request that go to servers.
func forwardable(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

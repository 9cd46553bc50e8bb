package node

import (
	"net/http"
	"strings"

	"hookwalk.example/hookwalk/internal/faultinjection"
)

// Headers of the protocol between clients, nodes and servers.
const (
	headerRequestID      = "X-Call-Id"       // the request ID, unique among the open requests of a node
	headerClass          = "X-Call-Class"    // the name of the request class
	headerBudget         = "X-Budget"        // the time left for the request, in the syntax of parseBudget
	headerOrderingKey    = "X-Route-Hash"    // requests with the same key are sent to servers in order
	headerTenant         = "X-Caller"        // the tenant
	headerClientRetry    = "X-Again"         // "1": the client sends the request again
	headerIdempotencyKey = "Idempotency-Key" // required by classes that are idempotent with a key
	headerRejected       = "X-Rejected"      // "1" in a response: the server did not run the request
)

// headerFlagSet is the value of a boolean header that is true.
const headerFlagSet = "1"

// singleValueHeaders are the headers that may occur only once in a request. If one occurred twice, the node and a server
// could use different values.
var singleValueHeaders = []string{headerRequestID, headerClass, headerBudget, headerOrderingKey, headerTenant,
	headerClientRetry, headerIdempotencyKey, "Content-Length"}

// nonForwardedHeaders are request headers that are not forwarded to servers: hop-by-hop headers, headers that the node
// replaces, and headers that are meant for the node only.
var nonForwardedHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", headerBudget, faultinjection.Header}

// forwardableHeaders returns a copy of a request's headers without those that are not forwarded to servers.
func forwardableHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range nonForwardedHeaders {
		out.Del(name)
	}
	return out
}

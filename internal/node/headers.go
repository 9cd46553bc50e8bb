package node

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

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
var nonForwardedHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Content-Length": true, "Upgrade": true, "Expect": true, headerBudget: true, faultinjection.Header: true}

// excludedHeaders returns the headers of a request that are not forwarded. The caller must not change the map.
func excludedHeaders(header http.Header) map[string]bool {
	named := header.Values("Connection")
	if len(named) == 0 {
		return nonForwardedHeaders
	}
	excluded := maps.Clone(nonForwardedHeaders)
	for _, value := range named {
		for name := range strings.SplitSeq(value, ",") {
			excluded[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return excluded
}

// writeRequestHead writes the head of a request to a server. timeout is how long the node waits for the response. The body has
// contentLength bytes; -1: it is chunked.
func writeRequestHead(b *bytes.Buffer, req *clientRequest, timeout time.Duration, contentLength int64) {
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", req.method, req.url.RequestURI(), req.host, headerBudget, formatBudget(timeout))
	switch {
	case contentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case contentLength > 0 || req.method != http.MethodGet:
		fmt.Fprintf(b, "Content-Length: %d\r\n", contentLength)
	}
	req.header.WriteSubset(b, excludedHeaders(req.header)) // can't fail: the buffer is in memory
	b.WriteString("\r\n")
}

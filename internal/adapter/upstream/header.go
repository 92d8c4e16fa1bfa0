package upstream

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1, and those that RFC 2616, section 13.5.1, names).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop headers, and those that the Connection
// header names, from header.
func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

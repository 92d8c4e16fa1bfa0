package upstream

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to one connection only, from RFC 9110,
// section 7.6.1, and RFC 2616, section 13.5.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the fields in hopByHop and the fields that Connection names
// from header.
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

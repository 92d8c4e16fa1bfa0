package keys

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// HeaderName is the header that carries a key if Authorization does not.
const HeaderName = "Kumquatshelf-Key"

const (
	authorization      = "Authorization"
	proxyAuthorization = "Proxy-Authorization"
	bearer             = "bearer "
)

// maxDecodings bounds how often a value is percent-decoded when it is searched for the
// key. Upstreams commonly decode once, some gateways twice.
const maxDecodings = 3

// FromHeader returns the key in the header, or an empty string if there is none. It
// reports false if the header has more than one key, since it would be unclear for which
// client account the request runs.
func FromHeader(header http.Header) (string, bool) {
	var found []string

	for _, value := range header.Values(authorization) {
		if len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
			found = append(found, strings.TrimSpace(value[len(bearer):]))
		}
	}

	for _, value := range header.Values(HeaderName) {
		found = append(found, strings.TrimSpace(value))
	}

	switch len(found) {
	case 0:
		return "", true
	case 1:
		return found[0], true
	}

	return "", false
}

// RemoveAuthorization removes the headers that can carry a key.
func RemoveAuthorization(header http.Header) {
	header.Del(authorization)
	header.Del(proxyAuthorization)
	header.Del(HeaderName)
}

// Scrub removes the header fields, cookies and query parameters that contain the key.
// It reports false if the path, host or body contains the key, which cannot be removed
// without changing the meaning of the request.
func Scrub(request *fleet.Request, key string) bool {
	header := request.Header

	if key == "" {
		return true
	}

	scrubHeader(header, key)

	path, query, hasQuery := strings.Cut(request.Target, "?")
	if contains(path, key) || bytes.Contains(request.Body, []byte(key)) || contains(request.Host, key) {
		return false
	}

	if hasQuery && contains(query, key) {
		request.Target = path
		if kept := scrubQuery(query, key); kept != "" {
			request.Target += "?" + kept
		}
	}

	return true
}

// ScrubTrailer removes the fields of a request's trailer that contain the key.
func ScrubTrailer(trailer http.Header, key string) {
	if key != "" {
		scrubHeader(trailer, key)
	}
}

func scrubHeader(header http.Header, key string) {
	for name, values := range header {
		if name == "Cookie" {
			scrubCookies(header, values, key)

			continue
		}

		for _, value := range values {
			if contains(value, key) || contains(name, key) {
				delete(header, name)

				break
			}
		}
	}
}

func scrubCookies(header http.Header, values []string, key string) {
	var kept []string

	for _, value := range values {
		for cookie := range strings.SplitSeq(value, ";") {
			if cookie = strings.TrimSpace(cookie); cookie != "" && !contains(cookie, key) {
				kept = append(kept, cookie)
			}
		}
	}

	if len(kept) == 0 {
		header.Del("Cookie")

		return
	}

	header["Cookie"] = []string{strings.Join(kept, "; ")}
}

func scrubQuery(query, key string) string {
	var kept []string

	for parameter := range strings.SplitSeq(query, "&") {
		if !contains(parameter, key) {
			kept = append(kept, parameter)
		}
	}

	return strings.Join(kept, "&")
}

// contains reports whether text contains key literally, in another letter case (header
// names are canonicalised in transit) or percent-encoded up to maxDecodings times.
func contains(text, key string) bool {
	for range maxDecodings {
		if containsFold(text, key) {
			return true
		}

		// Decoding never makes a text longer.
		if len(text) < len(key) {
			return false
		}

		decoded, err := url.QueryUnescape(text)
		if err != nil || decoded == text {
			return false
		}

		text = decoded
	}

	return containsFold(text, key)
}

// containsFold reports whether text contains key in any letter case. It runs for every
// header of every request and therefore does not allocate.
func containsFold(text, key string) bool {
	for i := 0; i+len(key) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(key)], key) {
			return true
		}
	}

	return false
}

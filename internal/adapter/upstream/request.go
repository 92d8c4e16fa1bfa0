package upstream

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// encode returns the encoded HTTP/1.1 request, or false if the method, target, host or
// a header field of the attempt's request is invalid.
func (c *Client) encode(ctx context.Context, upstream fleet.Upstream, attempt fleet.Attempt) ([]byte, bool) {
	request := attempt.Request
	if !validMethod(request.Method) || !validTarget(request.Target) || !httpguts.ValidHostHeader(request.Host) {
		return nil, false
	}
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	removeHopByHop(header)
	// The body is sent at once, without waiting for status 100 (Continue).
	header.Del("Expect")
	header.Del("Content-Length")
	header.Del("Host")
	remaining := time.Duration(0)
	if deadline, found := ctx.Deadline(); found {
		remaining = max(time.Until(deadline), time.Millisecond)
	}
	c.protocol.Describe(header, upstream, attempt, remaining)
	if len(request.Body) > 0 || !usuallyWithoutBody(request.Method) {
		header.Set("Content-Length", strconv.Itoa(len(request.Body)))
	}

	var message bytes.Buffer
	message.Grow(512 + len(request.Body))
	for _, part := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n"} {
		message.WriteString(part)
	}
	for name, values := range header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
				return nil, false
			}
			for _, part := range []string{name, ": ", value, "\r\n"} {
				message.WriteString(part)
			}
		}
	}
	message.WriteString("\r\n")
	message.Write(request.Body)

	return message.Bytes(), true
}

func validMethod(method string) bool {
	return method != "" && strings.IndexFunc(method, func(r rune) bool { return !httpguts.IsTokenRune(r) }) < 0
}

// validTarget reports whether the target is an absolute path that is valid in a
// request line.
func validTarget(target string) bool {
	if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \t\r\n") {
		return false
	}
	_, err := url.ParseRequestURI(target)

	return err == nil
}

// usuallyWithoutBody reports whether requests with the method usually have no body. A
// request with another method states Content-Length also for an empty body.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return true
	}

	return false
}

package caller

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// hopByHopHeaders are the header fields that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// bufferPool holds the buffers of copyBody, each of copyBufferBytes.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)

	return &b
}}

// writeRefusal writes the response to a request without an answer from an upstream:
// the outcome, the reason, the detail and the attempt as JSON.
func (s *Server) writeRefusal(c echo.Context, options RequestOptions, reply fleet.Reply) error {
	status := s.protocol.Refuse(c.Response().Header(), options, reply)

	attempt := ""
	if reply.ID.Ingress != "" {
		attempt = reply.ID.String()
	}

	if err := c.JSON(status, struct {
		Outcome   string
		Reason    string
		Detail    string
		AttemptID string
	}{reply.Outcome.String(), string(reply.Reason), reply.Detail, attempt}); err != nil {
		return fmt.Errorf("write refusal: %w", err)
	}

	return nil
}

// writeAnswer forwards an upstream's answer to the caller and closes its body. If the
// body is truncated or the caller cannot be written to, writeAnswer panics with
// http.ErrAbortHandler. The connection or HTTP/2 stream is then aborted, so that the
// caller does not mistake the part for a complete answer.
func (s *Server) writeAnswer(w http.ResponseWriter, reply fleet.Reply) {
	defer func() { _ = reply.Answer.Body.Close() }()

	header := w.Header()
	removeHopByHop(reply.Answer.Header)
	maps.Copy(header, reply.Answer.Header)
	s.protocol.SetAnswerHeader(header)
	w.WriteHeader(reply.Answer.Status)

	buffer, _ := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)

	stream := reply.Answer.Header.Get("Content-Length") == ""

	if err := copyBody(w, reply.Answer.Body, *buffer, stream); err != nil {
		s.metrics.Add("AnswersAborted", 1)
		s.log.Debug("answer aborted", "attempt", reply.ID.String(), "error", err)
		panic(http.ErrAbortHandler)
	}

	if reply.Answer.Trailer == nil {
		return
	}

	for name, values := range reply.Answer.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
}

// copyBody copies the body to w. If stream is true, the length is unknown and each part
// is flushed, because the body may pause.
func copyBody(w http.ResponseWriter, body io.Reader, buffer []byte, stream bool) error {
	controller := http.NewResponseController(w)

	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("write answer body: %w", werr)
			}

			if stream && err == nil {
				_ = controller.Flush()
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return fmt.Errorf("read answer body: %w", err)
		}
	}
}

// removeHopByHop deletes hopByHopHeaders and the fields that Connection names.
func removeHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// handleError writes a refusal for an error of the router, or of a handler that has not
// written a response.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}

	reason := fleet.ReasonBadRequest

	var httpError *echo.HTTPError
	if errors.As(err, &httpError) && slices.Contains([]int{http.StatusNotFound, http.StatusMethodNotAllowed}, httpError.Code) {
		reason = fleet.ReasonNoRoute
	}

	if c.Request().Method == http.MethodConnect {
		reason = fleet.ReasonUpgrade
	}

	if err := s.writeRefusal(c, RequestOptions{}, fleet.Refuse(reason, err.Error())); err != nil {
		s.log.Debug("failed to write refusal", "error", err)
	}
}

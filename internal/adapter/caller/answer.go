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

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBuffer)

	return &b
}}

// refuse answers a request that got no answer from an upstream.
func (f *Server) refuse(c echo.Context, terms RequestOptions, reply fleet.Reply) error {
	status := f.protocol.Refuse(c.Response().Header(), terms, reply)

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

// answer passes on an upstream's answer. If it breaks off, the connection is
// aborted, so that the caller cannot take the part for the whole.
func (f *Server) answer(w http.ResponseWriter, reply fleet.Reply) {
	defer func() { _ = reply.Answer.Body.Close() }()

	header := w.Header()
	removeHopHeaders(reply.Answer.Header)
	maps.Copy(header, reply.Answer.Header)
	f.protocol.SetAnswerHeader(header)
	w.WriteHeader(reply.Answer.Status)

	buffer, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)

	stream := reply.Answer.Header.Get("Content-Length") == ""

	if err := copyBody(w, reply.Answer.Body, *buffer, stream); err != nil {
		f.metrics.Add("AnswersAborted", 1)
		f.log.Debug("answer aborted", "attempt", reply.ID.String(), "error", err)
		panic(http.ErrAbortHandler)
	}

	if reply.Answer.Trailer == nil {
		return
	}

	for name, values := range reply.Answer.Trailer() {
		header[http.TrailerPrefix+name] = values
	}
}

// copyBody copies to w, flushing each part of a stream of unknown length.
func copyBody(w http.ResponseWriter, body io.Reader, buffer []byte, stream bool) error {
	controller := http.NewResponseController(w)

	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return fmt.Errorf("write to the caller: %w", werr)
			}

			if stream && err == nil {
				_ = controller.Flush()
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return fmt.Errorf("read the answer: %w", err)
		}
	}
}

func removeHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// handleError answers what echo itself refuses.
func (f *Server) handleError(err error, c echo.Context) {
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

	if err := f.refuse(c, RequestOptions{}, fleet.Refuse(reason, err.Error())); err != nil {
		f.log.Debug("refusal not written", "error", err)
	}
}

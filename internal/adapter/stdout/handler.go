// Package stdout writes log lines to the standard output of the process. A caller that
// logs never waits for the output: lines are queued, and dropped if the queue is full.
package stdout

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of lines that wait to be written.
	queueLines = 2048
	// infoLinesPerSecond limits the rate of lines of level Info and below, which report
	// single requests, and infoBurstLines is how many of them may come at once. Lines of
	// higher levels are not limited.
	infoLinesPerSecond = 400
	infoBurstLines     = 800
	// reportInterval is the minimum time between two lines that report how many lines
	// were dropped.
	reportInterval = time.Second
)

// sink queues and writes the lines of a Handler and of all handlers derived from it.
type sink struct {
	lines chan []byte
	// dropped counts lines over the rate limit and lines that found the queue full.
	dropped atomic.Int64

	// mu guards the token bucket below.
	mu sync.Mutex
	// tokens is the number of lines of level Info and below that the rate limit still
	// permitted at the time refilledAt.
	tokens     float64
	refilledAt time.Time
}

// Handler is a slog.Handler that formats records as JSON lines and queues them for
// writing. It is safe for concurrent use.
type Handler struct {
	level slog.Leveler
	sink  *sink
	// json formats a record into lineWriter.
	json       slog.Handler
	lineWriter *lineWriter
	// mu guards lineWriter. It is held while a line is formatted and copied from
	// lineWriter. All derived handlers share it, because they share lineWriter.
	mu *sync.Mutex
}

// lineWriter stores the latest line that a JSON handler has formatted.
type lineWriter struct{ line []byte }

func (w *lineWriter) Write(p []byte) (int, error) {
	w.line = append(w.line[:0], p...)

	return len(p), nil
}

// New returns a handler that writes records of at least the level to w, and a function
// that writes the queued lines and stops the writing goroutine. Lines that are logged
// after that are not written.
func New(w io.Writer, level slog.Leveler) (*Handler, func()) {
	s := &sink{lines: make(chan []byte, queueLines), tokens: infoBurstLines, refilledAt: time.Now()}
	out := &lineWriter{}
	h := &Handler{
		level: level, sink: s, lineWriter: out, mu: &sync.Mutex{},
		json: slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}),
	}
	stop := make(chan struct{})

	var writer sync.WaitGroup

	writer.Go(func() { s.writeLines(w, stop) })

	return h, sync.OnceFunc(func() {
		close(stop)
		writer.Wait()
	})
}

// Dropped returns a metric with the number of lines that were dropped because of the rate
// limit or a full queue.
func (h *Handler) Dropped() expvar.Var {
	return expvar.Func(func() any { return h.sink.dropped.Load() })
}

// Enabled reports whether records of the level are written.
func (h *Handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.level.Level()
}

// Handle formats and queues a record. It drops and counts the record if it is over the rate
// limit or the queue is full. It returns an error only if the record cannot be formatted.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level <= slog.LevelInfo && !h.sink.admit(record.Time) {
		h.sink.dropped.Add(1)

		return nil
	}

	h.mu.Lock()
	err := h.json.Handle(ctx, record)
	line := append([]byte(nil), h.lineWriter.line...)
	h.mu.Unlock()

	if err != nil {
		return fmt.Errorf("format log line: %w", err)
	}

	select {
	case h.sink.lines <- line:
	default:
		h.sink.dropped.Add(1)
	}

	return nil
}

// WithAttrs returns a derived handler that adds attributes to each record.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := *h
	derived.json = h.json.WithAttrs(attrs)

	return &derived
}

// WithGroup returns a derived handler that puts the attributes of each record in a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	derived := *h
	derived.json = h.json.WithGroup(name)

	return &derived
}

// admit reports whether the rate limit permits a line at the time now, and takes a token
// from the bucket if it does.
func (s *sink) admit(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if elapsed := now.Sub(s.refilledAt).Seconds(); elapsed > 0 {
		s.tokens = min(infoBurstLines, s.tokens+elapsed*infoLinesPerSecond)
		s.refilledAt = now
	}

	if s.tokens < 1 {
		return false
	}

	s.tokens--

	return true
}

// writeLines writes lines until stop is closed and the queue is empty.
func (s *sink) writeLines(w io.Writer, stop <-chan struct{}) {
	reported, reportedAt := int64(0), time.Time{}

	for {
		var line []byte

		select {
		case line = <-s.lines:
		default:
			select {
			case line = <-s.lines:
			case <-stop:
				return
			}
		}

		// A failed write to the log cannot be logged.
		_, _ = w.Write(line)

		if dropped := s.dropped.Load(); dropped > reported && time.Since(reportedAt) >= reportInterval {
			_, _ = fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped-reported)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

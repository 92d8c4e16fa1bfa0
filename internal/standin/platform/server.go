package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	wire "github.com/kumquatshelf/kumquatshelf/platform"
)

const (
	// maxWait bounds a watch, so that a client that went away is noticed.
	maxWait = 30 * time.Second
	// maxBodyBytes holds the largest value in base64 and the metadata.
	maxBodyBytes = 2 << 20
)

// Handler returns the object API over HTTP, with PUT /Faults and GET /Calls.
// It closes the connection without an answer where an answer is lost, and so
// needs to run in an http.Server.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	one := wire.PathObjects + ":Kind/:Name"
	e.GET(wire.PathObjects+":Kind", s.handleListOrWatch)
	e.POST(wire.PathObjects+":Kind", s.handleCreate)
	e.GET(one, s.handleGet)
	e.PUT(one, s.handleReplace)
	e.DELETE(one, s.handleDelete)
	e.PUT("/Faults", s.handleFaults)
	e.GET("/Calls", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.CallCounts())
	})

	return e
}

func (s *Store) toWire(object fleet.Object) wire.Object {
	s.mu.Lock()
	defer s.mu.Unlock()

	return wire.Object{
		Metadata: wire.Metadata{
			Name: object.Name, Revision: object.Version, Created: s.created[object.Kind][object.Name],
		},
		Spec: spec(object.Value),
	}
}

// spec returns a value as the client wrote it, which is JSON if an operator did.
func spec(value []byte) json.RawMessage {
	if len(value) > 0 && value[0] == '{' && json.Valid(value) {
		return value
	}

	return wire.EncodeSpec(value)
}

func (s *Store) handleGet(c echo.Context) error {
	object, outcome := s.Get(c.Request().Context(), c.Param("Kind"), c.Param("Name"))
	if outcome != fleet.StoreOK {
		return c.NoContent(status(outcome))
	}

	return c.JSON(http.StatusOK, s.toWire(object))
}

func (s *Store) handleCreate(c echo.Context) error {
	sent, refusal := readObject(c)
	if refusal != "" {
		return c.String(http.StatusBadRequest, refusal)
	}

	return s.write(c, sent, sent.Metadata.Name, fleet.IfAbsent)
}

func (s *Store) handleReplace(c echo.Context) error {
	sent, refusal := readObject(c)
	if refusal != "" {
		return c.String(http.StatusBadRequest, refusal)
	}
	condition := fleet.IfVersion(sent.Metadata.Revision)
	if condition == fleet.IfAbsent {
		return c.String(http.StatusBadRequest, "the stand-in replaces objects of a known revision only")
	}

	return s.write(c, sent, c.Param("Name"), condition)
}

func readObject(c echo.Context) (wire.Object, string) {
	var sent wire.Object
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&sent); err != nil {
		return sent, fmt.Sprintf("reading the object: %v", err)
	}

	return sent, ""
}

func (s *Store) write(c echo.Context, sent wire.Object, name string, condition fleet.Condition) error {
	value, err := wire.DecodeSpec(sent.Spec)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	object := fleet.Object{Kind: c.Param("Kind"), Name: name, Value: value}
	outcome, version := s.put(c.Request().Context(), object, condition)
	switch outcome {
	case fleet.StoreOK:
		object.Version = version

		return c.JSON(http.StatusOK, s.toWire(object))
	case fleet.StoreAmbiguous:
		panic(http.ErrAbortHandler)
	default:
		return c.NoContent(status(outcome))
	}
}

func (s *Store) handleDelete(c echo.Context) error {
	version, err := strconv.ParseUint(c.QueryParam(wire.ParamRevision), 10, 64)
	if err != nil && c.QueryParam(wire.ParamRevision) != "" {
		return c.String(http.StatusBadRequest, "the revision is not a number")
	}
	outcome := s.Delete(c.Request().Context(), c.Param("Kind"), c.Param("Name"), version)
	if outcome == fleet.StoreAmbiguous {
		panic(http.ErrAbortHandler)
	}

	return c.NoContent(status(outcome))
}

func status(outcome fleet.StoreOutcome) int {
	switch outcome {
	case fleet.StoreOK:
		return http.StatusOK
	case fleet.StoreNotFound:
		return http.StatusNotFound
	case fleet.StoreConflict:
		return http.StatusConflict
	case fleet.StoreCompacted:
		return http.StatusGone
	case fleet.StoreRejected:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) handleListOrWatch(c echo.Context) error {
	ctx, kind := c.Request().Context(), c.Param("Kind")
	if watch := c.QueryParam(wire.ParamWatch); watch != "" {
		after, err := strconv.ParseUint(watch, 10, 64)
		wait, waitErr := strconv.ParseUint(c.QueryParam(wire.ParamWait), 10, 32)
		if err != nil || waitErr != nil {
			return c.String(http.StatusBadRequest, "the revision and the milliseconds to wait must be numbers")
		}
		events, outcome := s.Events(ctx, kind, after, min(time.Duration(wait)*time.Millisecond, maxWait)) //nolint:gosec // 32 bits
		if outcome != fleet.StoreOK {
			return c.NoContent(status(outcome))
		}
		answer := wire.Events{Events: []wire.Event{}, StoreRevision: events.Revision}
		for _, event := range events.Events {
			answer.Events = append(answer.Events, wire.Event{Removed: event.Removed, Object: s.toWire(event.Object)})
		}

		return c.JSON(http.StatusOK, answer)
	}
	page, outcome := s.Page(ctx, kind, c.QueryParam(wire.ParamAfter), c.QueryParam(wire.ParamStale) == "1")
	if outcome != fleet.StoreOK {
		return c.NoContent(status(outcome))
	}
	answer := wire.Page{Items: []wire.Object{}, More: page.More, StoreRevision: page.Revision}
	for _, object := range page.Objects {
		answer.Items = append(answer.Items, s.toWire(object))
	}

	return c.JSON(http.StatusOK, answer)
}

func (s *Store) handleFaults(c echo.Context) error {
	var body struct {
		Outage      bool
		Latency     string
		LoseAnswers float64
	}
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return c.String(http.StatusBadRequest, fmt.Sprintf("reading the faults: %v", err))
	}
	faults := Faults{Outage: body.Outage, LoseAnswers: body.LoseAnswers}
	if body.Latency != "" {
		latency, err := time.ParseDuration(body.Latency)
		if err != nil || latency < 0 {
			return c.String(http.StatusBadRequest, fmt.Sprintf("Latency %q is not a duration such as 200ms", body.Latency))
		}
		faults.Latency = latency
	}
	if body.LoseAnswers < 0 {
		return c.String(http.StatusBadRequest, "LoseAnswers must not be negative")
	}
	s.SetFaults(faults)

	return c.NoContent(http.StatusOK)
}

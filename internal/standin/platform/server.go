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
	// maxWatchWait bounds how long a watch waits, so that the watch of a client
	// that disappeared ends.
	maxWatchWait = 30 * time.Second
	// maxBodyBytes leaves room for the largest value in base64 plus the metadata.
	maxBodyBytes = 2 << 20
)

// Handler returns the object API over HTTP, with PUT /Faults to replace the faults
// and GET /Calls for the call counts. It simulates a lost answer by a panic with
// http.ErrAbortHandler, so it must run in an http.Server, which then closes the
// connection.
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

// toWire returns an object as the API encodes it.
func (s *Store) toWire(object fleet.Object) wire.Object {
	s.mu.Lock()
	defer s.mu.Unlock()

	return wire.Object{
		Metadata: wire.Metadata{
			Name: object.Name, Revision: object.Version, Created: s.createdVersions[object.Kind][object.Name],
		},
		Spec: encodeSpec(object.Value),
	}
}

// encodeSpec returns a value in the form in which it was sent: as it is if it is a
// JSON object, as operators write by hand, and in the encoding of clients otherwise.
func encodeSpec(value []byte) json.RawMessage {
	if len(value) > 0 && value[0] == '{' && json.Valid(value) {
		return value
	}

	return wire.EncodeSpec(value)
}

func (s *Store) handleGet(c echo.Context) error {
	object, outcome := s.Get(c.Request().Context(), c.Param("Kind"), c.Param("Name"))
	if outcome != fleet.StoreOK {
		return c.NoContent(statusCode(outcome))
	}

	return c.JSON(http.StatusOK, s.toWire(object))
}

func (s *Store) handleCreate(c echo.Context) error {
	received, refusal := decodeObject(c)
	if refusal != "" {
		return c.String(http.StatusBadRequest, refusal)
	}

	return s.writeObject(c, received, received.Metadata.Name, fleet.IfAbsent)
}

func (s *Store) handleReplace(c echo.Context) error {
	received, refusal := decodeObject(c)
	if refusal != "" {
		return c.String(http.StatusBadRequest, refusal)
	}
	condition := fleet.IfVersion(received.Metadata.Revision)
	if condition == fleet.IfAbsent {
		return c.String(http.StatusBadRequest, "the stand-in replaces objects of a known revision only")
	}

	return s.writeObject(c, received, c.Param("Name"), condition)
}

// decodeObject returns the object in the request's body, or why the request is
// refused if the body is malformed or too large.
func decodeObject(c echo.Context) (wire.Object, string) {
	var received wire.Object
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&received); err != nil {
		return received, fmt.Sprintf("reading the object: %v", err)
	}

	return received, ""
}

// writeObject answers a create or replace.
func (s *Store) writeObject(c echo.Context, received wire.Object, name string, condition fleet.Condition) error {
	value, err := wire.DecodeSpec(received.Spec)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	object := fleet.Object{Kind: c.Param("Kind"), Name: name, Value: value}
	outcome, version := s.putWithVersion(c.Request().Context(), object, condition)
	switch outcome {
	case fleet.StoreOK:
		object.Version = version

		return c.JSON(http.StatusOK, s.toWire(object))
	case fleet.StoreAmbiguous:
		panic(http.ErrAbortHandler)
	default:
		return c.NoContent(statusCode(outcome))
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

	return c.NoContent(statusCode(outcome))
}

// statusCode returns the HTTP status that reports an outcome.
func statusCode(outcome fleet.StoreOutcome) int {
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
	if revisionText := c.QueryParam(wire.ParamWatch); revisionText != "" {
		after, err := strconv.ParseUint(revisionText, 10, 64)
		wait, waitErr := strconv.ParseUint(c.QueryParam(wire.ParamWait), 10, 32)
		if err != nil || waitErr != nil {
			return c.String(http.StatusBadRequest, "the revision and the milliseconds to wait must be numbers")
		}
		events, outcome := s.Events(ctx, kind, after, min(time.Duration(wait)*time.Millisecond, maxWatchWait)) //nolint:gosec // 32 bits
		if outcome != fleet.StoreOK {
			return c.NoContent(statusCode(outcome))
		}
		answer := wire.Events{Events: []wire.Event{}, StoreRevision: events.Revision}
		for _, event := range events.Events {
			answer.Events = append(answer.Events, wire.Event{Removed: event.Removed, Object: s.toWire(event.Object)})
		}

		return c.JSON(http.StatusOK, answer)
	}
	page, outcome := s.Page(ctx, kind, c.QueryParam(wire.ParamAfter), c.QueryParam(wire.ParamStale) == "1")
	if outcome != fleet.StoreOK {
		return c.NoContent(statusCode(outcome))
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

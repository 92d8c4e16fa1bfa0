package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// maxWait bounds a watch, so that a client that went away is noticed.
const maxWait = time.Minute

// Handler returns the object API over HTTP, with PUT /Faults and GET /Calls.
// It closes the connection without an answer where an answer is lost, and so
// needs to run in an http.Server.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.GET("/Objects/:Kind/:Name", s.handleGet)
	e.PUT("/Objects/:Kind/:Name", s.handlePut)
	e.GET("/Objects/:Kind", s.handleListOrWatch)
	e.PUT("/Faults", s.handleFaults)
	e.GET("/Calls", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.Calls())
	})

	return e
}

func etag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func (s *Store) handleGet(c echo.Context) error {
	object, outcome := s.Get(c.Request().Context(), c.Param("Kind"), c.Param("Name"))
	if outcome != fleet.StoreOK {
		return c.NoContent(status(outcome))
	}
	c.Response().Header().Set("ETag", etag(object.Version))

	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (s *Store) handlePut(c echo.Context) error {
	var condition fleet.Condition
	header := c.Request().Header
	switch match := header.Get("If-Match"); {
	case match != "" && header.Get("If-None-Match") == "":
		version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil || version == 0 || etag(version) != match {
			return c.String(http.StatusBadRequest, fmt.Sprintf("If-Match %q is not a quoted version", match))
		}
		condition = fleet.IfVersion(version)
	case match == "" && header.Get("If-None-Match") == "*":
		condition = fleet.IfAbsent
	default:
		return c.String(http.StatusPreconditionRequired, "either If-Match or If-None-Match: * is required")
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, fleet.MaxObjectBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, fmt.Sprintf("reading the body: %v", err))
	}
	object := fleet.Object{Kind: c.Param("Kind"), Name: c.Param("Name"), Value: value}
	outcome, version := s.put(c.Request().Context(), object, condition)
	switch outcome {
	case fleet.StoreOK:
		c.Response().Header().Set("ETag", etag(version))

		return c.NoContent(http.StatusOK)
	case fleet.StoreAmbiguous:
		panic(http.ErrAbortHandler)
	default:
		return c.NoContent(status(outcome))
	}
}

func status(outcome fleet.StoreOutcome) int {
	switch outcome {
	case fleet.StoreOK:
		return http.StatusOK
	case fleet.StoreNotFound:
		return http.StatusNotFound
	case fleet.StoreConflict:
		return http.StatusPreconditionFailed
	case fleet.StoreRejected:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Store) handleListOrWatch(c echo.Context) error {
	var objects []fleet.Object
	var outcome fleet.StoreOutcome
	ctx, kind := c.Request().Context(), c.Param("Kind")
	if since := c.QueryParam("Since"); since != "" {
		version, err := strconv.ParseUint(since, 10, 64)
		wait, waitErr := time.ParseDuration(c.QueryParam("Wait"))
		if err != nil || waitErr != nil || wait < 0 {
			return c.String(http.StatusBadRequest, "Since must be a version and Wait a duration such as 20s")
		}
		objects, outcome = s.watch(ctx, kind, version, min(wait, maxWait))
	} else {
		objects, outcome = s.List(ctx, kind, c.QueryParam("After"))
	}
	if outcome != fleet.StoreOK {
		return c.NoContent(status(outcome))
	}
	if objects == nil {
		objects = []fleet.Object{}
	}

	return c.JSON(http.StatusOK, objects)
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

package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// maxAnnouncementBytes limits the body of an announcement. A valid body has about 100
// bytes.
const maxAnnouncementBytes = 4 << 10

// Directory stores the upstreams that are announced to this daemon.
type Directory interface {
	// Announce adds or renews an upstream, or returns why it is refused.
	Announce(upstream fleet.Upstream) fleet.AnnounceResult
	// Withdraw removes an upstream and reports whether it was known.
	Withdraw(name string) bool
}

// announcement is the JSON body of PUT /Upstreams/{Name}.
type announcement struct {
	Service string
	Address string
	Slots   int
	State   string
}

// Register adds the announcement endpoints to the daemon's local server. An upstream
// sends PUT /Upstreams/{Name} with {Service, Address, Slots, State} every second, and
// DELETE /Upstreams/{Name} when it stops. Success has status 204. Errors have the body
// {Error} and status 400 for invalid input, 404 for DELETE of an unknown name, 409 for
// a name that another upstream uses, and 503 if the daemon already serves its maximum
// number of upstreams.
func Register(e *echo.Echo, directory Directory) {
	e.PUT("/Upstreams/:Name", func(c echo.Context) error {
		upstream, err := parseAnnouncement(c.Param("Name"), c.Request().Body)
		if err != nil {
			return writeError(c, http.StatusBadRequest, err.Error())
		}
		switch directory.Announce(upstream) {
		case fleet.NameTaken:
			return writeError(c, http.StatusConflict,
				fmt.Sprintf("upstream %q is announced with another service or address", upstream.Name))
		case fleet.TooManyUpstreams:
			return writeError(c, http.StatusServiceUnavailable, "the daemon serves its maximum number of upstreams")
		case fleet.Announced:
		}

		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/Upstreams/:Name", func(c echo.Context) error {
		if !directory.Withdraw(c.Param("Name")) {
			return writeError(c, http.StatusNotFound, "this upstream is not announced")
		}

		return c.NoContent(http.StatusNoContent)
	})
}

func writeError(c echo.Context, status int, detail string) error {
	return c.JSON(status, struct{ Error string }{detail})
}

// parseAnnouncement returns the announced upstream, or an error that names the invalid
// field and the expected value. The text of the error is sent to the upstream.
func parseAnnouncement(name string, body io.Reader) (fleet.Upstream, error) {
	var empty fleet.Upstream
	limited := &io.LimitedReader{R: body, N: maxAnnouncementBytes + 1}
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	var a announcement
	err := decoder.Decode(&a)
	if err == nil && !errors.Is(decoder.Decode(&struct{}{}), io.EOF) {
		err = errors.New("want a single JSON object")
	}
	if limited.N == 0 {
		return empty, fmt.Errorf("body: want at most %d bytes", maxAnnouncementBytes)
	}
	if err != nil {
		return empty, fmt.Errorf("body: %w", err)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return empty, fmt.Errorf("field Address %.64q: want an IP address and port, such as 127.0.0.1:8080", a.Address)
	}
	state, ok := fleet.ParseUpstreamState(a.State)
	if !ok {
		return empty, fmt.Errorf("field State %.64q: want Warming, Ready, Shedding or Draining", a.State)
	}
	upstream := fleet.Upstream{Name: name, Service: a.Service, Address: address, Slots: a.Slots, State: state}
	if err := upstream.Validate(); err != nil {
		return empty, fmt.Errorf("announcement: %w", err)
	}

	return upstream, nil
}

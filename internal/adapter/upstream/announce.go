package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const (
	// maxAnnouncementBytes bounds the body; a valid one has about 100 bytes.
	maxAnnouncementBytes = 4 << 10
	// maxSlots keeps a mistyped number from disabling the queue.
	maxSlots = 1024
)

// validName also bounds the length of names, which every daemon stores.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Directory receives the announcements of upstreams.
type Directory interface {
	// Announce adds or renews an upstream.
	Announce(upstream fleet.Upstream) fleet.AnnounceResult
	// Withdraw removes an upstream and reports whether it was known.
	Withdraw(name string) bool
}

type announcement struct {
	Service string
	Address string
	Slots   int
	State   string
}

// Register adds the announce endpoint to the daemon's local server:
// PUT /Upstreams/{Name} with {Service, Address, Slots, State}, each second,
// and DELETE /Upstreams/{Name}. A success has status 204. An error has status
// 400 for bad input, 409 for a name that another upstream uses, 503 if the
// daemon has no room, 404 for an unknown name on DELETE, and the body {Error}.
func Register(e *echo.Echo, directory Directory) {
	e.PUT("/Upstreams/:Name", func(c echo.Context) error {
		upstream, err := parse(c.Param("Name"), c.Request().Body)
		if err != nil {
			return reject(c, http.StatusBadRequest, err.Error())
		}
		switch directory.Announce(upstream) {
		case fleet.NameTaken:
			return reject(c, http.StatusConflict,
				fmt.Sprintf("upstream %q is announced with another service or address", upstream.Name))
		case fleet.TooManyUpstreams:
			return reject(c, http.StatusServiceUnavailable, "the daemon serves its maximum number of upstreams")
		case fleet.Announced:
		}

		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/Upstreams/:Name", func(c echo.Context) error {
		if !directory.Withdraw(c.Param("Name")) {
			return reject(c, http.StatusNotFound, "this upstream is not announced")
		}

		return c.NoContent(http.StatusNoContent)
	})
}

func reject(c echo.Context, status int, detail string) error {
	return c.JSON(status, struct{ Error string }{detail})
}

// parse returns the announced upstream, or an error that names the field and
// the expected value.
func parse(name string, body io.Reader) (fleet.Upstream, error) {
	var none fleet.Upstream
	if !validName.MatchString(name) {
		return none, fmt.Errorf("name %q: want 1 to 128 letters, digits, '.', '_' or '-'", name)
	}
	limited := &io.LimitedReader{R: body, N: maxAnnouncementBytes + 1}
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	var a announcement
	err := decoder.Decode(&a)
	if err == nil && !errors.Is(decoder.Decode(&struct{}{}), io.EOF) {
		err = errors.New("want a single JSON object")
	}
	if limited.N == 0 {
		return none, fmt.Errorf("body: want at most %d bytes", maxAnnouncementBytes)
	}
	if err != nil {
		return none, fmt.Errorf("body: %w", err)
	}
	if !validName.MatchString(a.Service) {
		return none, fmt.Errorf("field Service %q: want 1 to 128 letters, digits, '.', '_' or '-'", a.Service)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return none, fmt.Errorf("field Address %q: want an IP address and port, such as 127.0.0.1:8080", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return none, fmt.Errorf("field Slots %d: want 1 to %d", a.Slots, maxSlots)
	}
	state, ok := fleet.ParseUpstreamState(a.State)
	if !ok {
		return none, fmt.Errorf("field State %q: want Warming, Ready, Shedding or Draining", a.State)
	}

	return fleet.Upstream{Name: name, Service: a.Service, Address: address, Slots: a.Slots, State: state}, nil
}

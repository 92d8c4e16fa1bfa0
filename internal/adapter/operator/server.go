package operator

import (
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// Controller is the daemon that operators query and control.
type Controller interface {
	// Name returns the daemon's name.
	Name() string
	// Status returns the daemon's view of the fleet.
	Status() Status
	// Upstreams returns the daemon's own upstreams.
	Upstreams() []Upstream
	// WithdrawKey withdraws a key on behalf of an operator.
	WithdrawKey(hash keys.Hash, operatorName string)
	// SetDraining stops or allows new requests to an upstream on behalf of an operator.
	SetDraining(upstream string, draining bool, operatorName string)
	// HasUpstream reports whether an upstream of this name is announced.
	HasUpstream(upstream string) bool
}

// Register adds the endpoints for operators to a server: GET /Status, GET /Upstreams,
// POST /Keys/{hash}/Withdraw, POST /Upstreams/{name}/Drain and
// POST /Upstreams/{name}/Undrain. POST requests without HeaderOperator are refused with
// status 400.
func Register(e *echo.Echo, daemon Controller) {
	e.GET("/Status", func(c echo.Context) error { return c.JSON(http.StatusOK, daemon.Status()) })

	e.GET("/Upstreams", func(c echo.Context) error { return c.JSON(http.StatusOK, daemon.Upstreams()) })

	e.POST("/Keys/:Hash/Withdraw", handleAction(daemon, func(c echo.Context, operatorName string) (int, string) {
		hash, ok := keys.ParseHash(c.Param("Hash"))
		if !ok {
			return http.StatusBadRequest, "expected the SHA-256 hash of a key in lower-case hex"
		}

		daemon.WithdrawKey(hash, operatorName)

		return http.StatusOK, ""
	}))

	for path, draining := range map[string]bool{"Drain": true, "Undrain": false} {
		e.POST("/Upstreams/:Name/"+path, handleAction(daemon, func(c echo.Context, operatorName string) (int, string) {
			upstream := c.Param("Name")
			if !fleet.ValidName(upstream) {
				return http.StatusBadRequest, fmt.Sprintf("name %.64q: want %s", upstream, fleet.NameForm)
			}

			if draining && !daemon.HasUpstream(upstream) {
				return http.StatusNotFound, "no upstream of this name is announced"
			}

			daemon.SetDraining(upstream, draining, operatorName)

			return http.StatusOK, ""
		}))
	}
}

// maxOperatorBytes limits the operator's name, which is stored in the audit trail.
const maxOperatorBytes = 256

// handleAction returns a handler that passes the operator's name to do and writes the
// status and the detail of its result as a Confirmation.
func handleAction(daemon Controller, do func(c echo.Context, operatorName string) (status int, detail string)) echo.HandlerFunc {
	return func(c echo.Context) error {
		operatorName := c.Request().Header.Get(HeaderOperator)

		status, detail := http.StatusBadRequest, "the header "+HeaderOperator+" is missing; expected who acts"
		switch {
		case len(operatorName) > maxOperatorBytes || !utf8.ValidString(operatorName):
			detail = "the header " + HeaderOperator + " is not a name of up to 256 bytes in UTF-8"
		case operatorName != "":
			status, detail = do(c, operatorName)
		}

		return c.JSON(status, Confirmation{Daemon: daemon.Name(), Detail: detail})
	}
}

package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// Controller does what operators ask for.
type Controller interface {
	Name() string
	Status() Status
	// Upstreams returns the daemon's own upstreams.
	Upstreams() []Upstream
	WithdrawKey(hash keys.Hash, who string)
	// SetDraining stops or allows new requests to an upstream.
	SetDraining(upstream string, draining bool, who string)
	// HasUpstream reports whether an upstream is announced.
	HasUpstream(upstream string) bool
}

// Register adds the operators' endpoints to a server:
// GET /Status, GET /Upstreams, POST /Keys/{hash}/Withdraw, POST /Upstreams/{name}/Drain and
// POST /Upstreams/{name}/Undrain. Actions need the header Operator.
func Register(e *echo.Echo, daemon Controller) {
	e.GET("/Status", func(c echo.Context) error { return c.JSON(http.StatusOK, daemon.Status()) })

	e.GET("/Upstreams", func(c echo.Context) error { return c.JSON(http.StatusOK, daemon.Upstreams()) })

	e.POST("/Keys/:Hash/Withdraw", action(daemon, func(c echo.Context, who string) (int, string) {
		hash, ok := keys.ParseHash(c.Param("Hash"))
		if !ok {
			return http.StatusBadRequest, "expected the SHA-256 hash of a key in lower-case hex"
		}

		daemon.WithdrawKey(hash, who)

		return http.StatusOK, ""
	}))

	for path, draining := range map[string]bool{"Drain": true, "Undrain": false} {
		e.POST("/Upstreams/:Name/"+path, action(daemon, func(c echo.Context, who string) (int, string) {
			upstream := c.Param("Name")
			if draining && !daemon.HasUpstream(upstream) {
				return http.StatusNotFound, "no upstream of this name is announced"
			}

			daemon.SetDraining(upstream, draining, who)

			return http.StatusOK, ""
		}))
	}
}

func action(daemon Controller, do func(c echo.Context, who string) (status int, detail string)) echo.HandlerFunc {
	return func(c echo.Context) error {
		who := c.Request().Header.Get(HeaderOperator)

		status, detail := http.StatusBadRequest, "the header "+HeaderOperator+" is missing; expected who acts"
		if who != "" {
			status, detail = do(c, who)
		}

		return c.JSON(status, Confirmation{Daemon: daemon.Name(), Detail: detail})
	}
}

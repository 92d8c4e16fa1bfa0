package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Mode is how the stand-in misbehaves. The zero value is healthy. GET /Health
// succeeds in every mode.
type Mode struct {
	// SlowFactor multiplies the service time; 0 counts as 1.
	SlowFactor float64
	// CutFraction of the answers end half way.
	CutFraction float64
	// BrokenFraction of the answers have status 500.
	BrokenFraction float64
	// ShedFraction of the requests are shed.
	ShedFraction float64
	// Freeze stops all requests until the mode changes.
	Freeze bool
	// Silent stops the announcements.
	Silent bool
	// Drain announces Draining. Requests still run and are recorded.
	Drain bool
	// FlapPeriodMilliseconds turns slow, cut, broken and frozen answers on for
	// half of each period, starting with on; 0 leaves them on.
	FlapPeriodMilliseconds int
}

func (m Mode) validate() error {
	for name, fraction := range map[string]float64{
		"CutFraction": m.CutFraction, "BrokenFraction": m.BrokenFraction, "ShedFraction": m.ShedFraction,
	} {
		if fraction < 0 || fraction > 1 {
			return fmt.Errorf("field %s: got %v, want 0 to 1", name, fraction)
		}
	}
	if m.SlowFactor < 0 || m.FlapPeriodMilliseconds < 0 {
		return fmt.Errorf("fields SlowFactor, FlapPeriodMilliseconds: got %v, %d, want at least 0",
			m.SlowFactor, m.FlapPeriodMilliseconds)
	}

	return nil
}

// Mode returns the current mode.
func (u *Upstream) Mode() Mode {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.mode
}

// SetMode replaces the mode, releases frozen requests and announces the state.
func (u *Upstream) SetMode(mode Mode) {
	u.mu.Lock()
	if mode.Drain != u.mode.Drain {
		u.record.drain(mode.Drain, time.Now())
	}
	u.mode, u.modeAt = mode, time.Now()
	close(u.changed)
	u.changed = make(chan struct{})
	u.mu.Unlock()
	select {
	case u.nudge <- struct{}{}:
	default:
	}
}

func (u *Upstream) putMode(c echo.Context) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	var mode Mode
	err := decoder.Decode(&mode)
	if err == nil {
		err = mode.validate()
	}
	if err != nil {
		return c.JSON(http.StatusBadRequest, struct{ Error string }{err.Error()})
	}
	u.SetMode(mode)

	return c.NoContent(http.StatusNoContent)
}

// effective returns the mode without the faults that flapping has turned off,
// and a channel that is closed when the mode changes.
func (u *Upstream) effective() (Mode, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mode := u.mode
	half := time.Duration(mode.FlapPeriodMilliseconds) * time.Millisecond / 2
	if half > 0 && time.Since(u.modeAt)/half%2 == 1 {
		mode.SlowFactor, mode.CutFraction, mode.BrokenFraction, mode.Freeze = 0, 0, 0, false
	}

	return mode, u.changed
}

func (u *Upstream) state() fleet.UpstreamState {
	mode := u.Mode()
	switch {
	case mode.Drain:
		return fleet.Draining
	case mode.ShedFraction > 0:
		return fleet.Shedding
	case u.cold():
		return fleet.Warming
	}

	return fleet.Ready
}

package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Mode selects the faults that a stand-in injects. The zero value injects none.
// GET /Health succeeds in every mode.
type Mode struct {
	// SlowFactor multiplies the service time; 0 leaves it unchanged.
	SlowFactor float64
	// CutFraction is the fraction of answers, 0 to 1, that end after half of the body.
	CutFraction float64
	// BrokenFraction is the fraction of answers, 0 to 1, that have status 500.
	BrokenFraction float64
	// ShedFraction is the fraction of requests, 0 to 1, that are shed.
	ShedFraction float64
	// Freeze keeps requests from starting, after they took a slot, until the mode changes.
	Freeze bool
	// Silent stops the announcements to the daemon.
	Silent bool
	// Drain announces the state Draining. Requests that still arrive run and are
	// counted.
	Drain bool
	// FlapPeriodMilliseconds makes SlowFactor, CutFraction, BrokenFraction and Freeze
	// take effect only in the first half of each period, starting when the mode is set;
	// 0 keeps them in effect.
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

// SetMode replaces the mode, lets frozen requests continue unless the new mode freezes
// them too, and announces the new state at once.
func (u *Upstream) SetMode(mode Mode) {
	u.mu.Lock()
	if mode.Drain != u.mode.Drain {
		u.recorder.recordDrain(mode.Drain, time.Now())
	}
	u.mode, u.modeSetAt = mode, time.Now()
	close(u.modeChanged)
	u.modeChanged = make(chan struct{})
	u.mu.Unlock()
	select {
	case u.announceNow <- struct{}{}:
	default:
	}
}

func (u *Upstream) handlePutMode(c echo.Context) error {
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

// effectiveMode returns the mode without the faults that flapping currently turns off,
// and a channel that is closed when the mode changes.
func (u *Upstream) effectiveMode() (Mode, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	mode := u.mode
	half := time.Duration(mode.FlapPeriodMilliseconds) * time.Millisecond / 2
	if half > 0 && time.Since(u.modeSetAt)/half%2 == 1 {
		mode.SlowFactor, mode.CutFraction, mode.BrokenFraction, mode.Freeze = 0, 0, 0, false
	}

	return mode, u.modeChanged
}

// announcedState returns the state to announce. Draining takes precedence over Shedding,
// and Shedding over Warming.
func (u *Upstream) announcedState() fleet.UpstreamState {
	mode := u.Mode()
	switch {
	case mode.Drain:
		return fleet.Draining
	case mode.ShedFraction > 0:
		return fleet.Shedding
	case u.isColdStarting():
		return fleet.Warming
	}

	return fleet.Ready
}

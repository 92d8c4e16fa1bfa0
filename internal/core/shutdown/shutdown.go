// Package shutdown decides which requests a daemon still takes while it stops.
package shutdown

import "time"

// usualFactor is how much longer than usual a request may take and still end in time. About
// one request in 50 takes three times as long as usual.
const usualFactor = 4

// Plan is the schedule of a planned stop.
type Plan struct {
	// DrainUntil is the end of the time in which callers are sent away and may not have
	// noticed yet.
	DrainUntil time.Time
	// CutAt is when the requests that still run are cut off.
	CutAt time.Time
}

// Takes reports whether a request that must have its answer by the deadline may begin at now.
// It ends before CutAt, or it usually does and begins before DrainUntil, when refusing all
// requests with long deadlines would turn away many that take a moment. Usual is the usual
// duration of such requests, or 0 if it is not known.
func (p Plan) Takes(now, deadline time.Time, usual time.Duration) bool {
	if !deadline.After(p.CutAt) {
		return true
	}

	return usual > 0 && now.Before(p.DrainUntil) && now.Add(usualFactor*usual).Before(p.CutAt)
}

package server

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/boottime"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/limits"
)

// retryWindow is the window over which Bounds.RetryShare and Bounds.RetrySlack of the
// settings limit extra attempts.
const retryWindow = 10 * time.Second

// startLimits starts the limiter of client accounts and of extra attempts.
func (d *Daemon) startLimits() {
	limiter, cleanUp := limits.New(limits.Dependencies{
		Self:   pool.Daemon{Name: d.settings.Name, Incarnation: d.membership.Incarnation()},
		Groups: groupCount, Peers: d.network, Store: d.store, Members: d.membership, Clock: boottime.Clock{},
		Random: newRandom(), Log: d.log,
		RetryBudget: pool.RetryBudget{
			Ratio: d.settings.Bounds.RetryShare, Slack: d.settings.Bounds.RetrySlack, Window: retryWindow,
		},
	})
	d.limits = limiter
	d.onClose(cleanUp)
}

package server

import (
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/boottime"
	"github.com/kumquatshelf/kumquatshelf/internal/core/pool"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/limits"
)

// retryWindow is that in which the settings' bounds on extra attempts hold.
const retryWindow = 10 * time.Second

func (d *Daemon) startLimits() {
	limiter, cleanUp := limits.New(limits.Dependencies{
		Self:   pool.Daemon{Name: d.settings.Name, Incarnation: d.membership.Incarnation()},
		Groups: groups, Peers: d.network, Store: d.store, Members: d.membership, Clock: boottime.Clock{},
		Random: newRandom(), Log: d.log,
		RetryBudget: pool.RetryBudget{
			Ratio: d.settings.Bounds.RetryShare, Slack: float64(d.settings.Bounds.RetrySlack), Window: retryWindow,
		},
	})
	d.limits = limiter
	d.onClose(cleanUp)
}

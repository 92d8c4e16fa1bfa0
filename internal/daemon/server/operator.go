package server

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/operator"
	"github.com/kumquatshelf/kumquatshelf/internal/audit/trail"
	"github.com/kumquatshelf/kumquatshelf/internal/config/keystore"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
	"github.com/kumquatshelf/kumquatshelf/internal/core/gossip"
	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/configuration"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/directory"
	"github.com/kumquatshelf/kumquatshelf/internal/wire/peerpb"
)

// storeReachableWindow is how long after its last answer the store is reported as
// reachable. It exceeds the time for which the store holds a watch without changes.
const storeReachableWindow = 30 * time.Second

// startOperator serves the operators' API and the metrics at the operators' address.
func (d *Daemon) startOperator(context.Context) error {
	router := echo.New()
	router.GET(metricsPath, echo.WrapHandler(expvar.Handler()))
	operator.Register(router, d)

	return d.serve("operators", d.settings.OperatorAddress, router)
}

// metricsPath is the HTTP path of the process's expvar variables.
const metricsPath = "/Metrics"

// startMetrics serves the metrics at a separate address if the settings have one. If
// that address cannot be bound, the daemon runs without it, because requests do not
// depend on metrics.
func (d *Daemon) startMetrics(context.Context) error {
	if !d.settings.MetricsAddress.IsValid() {
		return nil
	}

	router := echo.New()
	router.GET(metricsPath, echo.WrapHandler(expvar.Handler()))

	if err := d.serve("metrics", d.settings.MetricsAddress, router); err != nil {
		d.log.Warn("metrics address not available; serving metrics at the operators' address only", "error", err)
	}

	return nil
}

// Name returns the daemon's name.
func (d *Daemon) Name() string {
	return d.settings.Name
}

// WithdrawKey withdraws the key with the given hash in the whole fleet. The daemons
// that watch the store write the withdrawal to it, after an outage if necessary. The
// parameter who is the operator's name for the log.
func (d *Daemon) WithdrawKey(hash keys.Hash, who string) {
	account, _ := d.keys.Lookup(hash)
	entry := configuration.KeyEntry(hash.String(), keystore.Key{ClientAccount: account, Withdrawn: true})

	d.membership.Publish(entry)
	// Applied here too and not only through the subscription, because the operator's
	// request returns with the promise that this daemon refuses the key.
	d.applyKey(entry)
	d.log.Info("key withdrawn", "hash", hash.String(), "operator", who)
}

// SetDraining stops new requests to an upstream in the whole fleet, or allows them again
// if draining is false. The upstream need not be announced yet. The parameter who is the
// operator's name for the audit trail.
func (d *Daemon) SetDraining(upstream string, draining bool, who string) {
	version := uint64(time.Now().UnixNano()) //nolint:gosec // after 1970

	// The version exceeds the known one, so that the latest request takes effect even
	// if the earlier one came from a daemon whose clock is ahead.
	if old, known := d.membership.Get(fleet.KindDrain, upstream); known {
		version = max(version, old.Version+1)
	}

	value, err := proto.Marshal(&peerpb.Drain{Upstream: upstream, Draining: draining, Who: who})
	if err != nil {
		panic("encode drain entry: " + err.Error())
	}

	entry := fleet.Entry{Kind: fleet.KindDrain, Key: upstream, Version: version, Value: value}
	d.membership.Publish(entry)
	d.applyDrain(entry)

	action := trail.ActionDrain
	if !draining {
		action = trail.ActionUndrain
	}

	d.audit.Add(trail.Record{Who: who, When: time.Now(), Action: action, Subject: upstream})
}

// HasUpstream reports whether any member of the fleet announces an upstream of that name.
func (d *Daemon) HasUpstream(upstream string) bool {
	for _, service := range d.directory.Services() {
		for _, known := range d.directory.Upstreams(service) {
			if known.Name == upstream {
				return true
			}
		}
	}

	return false
}

// Status returns this daemon's view of the fleet. Faulty members are left out, and
// daemons, services and client accounts are sorted by name.
func (d *Daemon) Status() operator.Status {
	contact := d.loader.LastStoreContact()
	status := operator.Status{
		Daemon: d.settings.Name,
		Store: operator.Store{
			Reachable: !contact.IsZero() && time.Since(contact) < storeReachableWindow, LastContact: contact,
			AuditPending: d.audit.Pending(), AuditDropped: d.audit.Dropped(),
		},
	}

	current := d.loader.Current()
	if current != nil {
		status.ConfigurationVersion = current.Version
	}

	_, withdrawnCount := d.keys.Counts()

	for _, member := range d.membership.Members() {
		if member.Status == gossip.Faulty {
			continue
		}

		daemon := operator.Daemon{
			Name: member.Name, AvailabilityZone: member.AvailabilityZone, Region: member.Region,
			OperatorAddress: member.OperatorAddress, ConfigurationVersion: member.ConfigurationVersion,
			Leaving: member.Leaving,
		}
		if member.Name == d.settings.Name {
			daemon.WithdrawnKeys, daemon.StoreContact = uint64(withdrawnCount), contact //nolint:gosec // a count
			daemon.ConfigurationVersion = status.ConfigurationVersion
		}

		status.Daemons = append(status.Daemons, daemon)
	}

	slices.SortFunc(status.Daemons, func(a, b operator.Daemon) int { return cmp.Compare(a.Name, b.Name) })

	status.Services = d.serviceStatuses(current)
	status.ClientAccounts = d.accountStatuses(current)

	return status
}

// serviceStatuses describes the services that are announced or configured, sorted by
// name. The configuration current may be nil.
func (d *Daemon) serviceStatuses(current *fleet.Configuration) []operator.Service {
	names := d.directory.Services()

	if current != nil {
		for name := range current.Services {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}

	slices.Sort(names)

	list := make([]operator.Service, 0, len(names))

	for _, name := range names {
		var floor fleet.CapacityFloor
		if current != nil {
			floor = current.Services[name].CapacityFloor
		}

		list = append(list, d.serviceStatus(name, floor))
	}

	return list
}

// serviceStatus describes one service and its upstreams. A floor in percent is
// converted to slots and rounded up.
func (d *Daemon) serviceStatus(name string, floor fleet.CapacityFloor) operator.Service {
	service := operator.Service{Name: name}

	for _, known := range d.directory.Upstreams(name) {
		service.Upstreams = append(service.Upstreams, d.upstreamStatus(known))
	}

	service.SumSlots()

	service.Floor = floor.Slots
	if floor.Percent > 0 {
		service.Floor = (service.Slots*floor.Percent + 99) / 100
	}

	slices.SortFunc(service.Upstreams, func(a, b operator.Upstream) int { return cmp.Compare(a.Name, b.Name) })

	return service
}

// Upstreams returns the upstreams beside this daemon with their current load.
func (d *Daemon) Upstreams() []operator.Upstream {
	own := d.egress.Upstreams()
	list := make([]operator.Upstream, len(own))

	for i, upstream := range own {
		list[i] = d.upstreamStatus(directory.Upstream{
			Name: upstream.Name, Slots: upstream.Slots, State: upstream.State, Daemon: d.settings.Name, Alive: true,
		})
	}

	return list
}

// upstreamStatus describes an upstream. Its load comes from the local egress if the
// upstream is beside this daemon, and otherwise from the last load report that the
// ingress received.
func (d *Daemon) upstreamStatus(upstream directory.Upstream) operator.Upstream {
	load, local := d.egress.Load(upstream.Name)
	reportedAt := time.Now()

	if !local || upstream.Daemon != d.settings.Name {
		load, reportedAt = d.ingress.LastLoad(upstream.Name)
	}

	return operator.Upstream{
		Name: upstream.Name, Daemon: upstream.Daemon, State: upstream.State.String(), Alive: upstream.Alive,
		Slots:     upstream.Slots,
		Suspicion: load.Suspicion, Suspect: load.Suspect, InFlight: load.InFlight, Queued: load.Queued, HeardAt: reportedAt,
	}
}

// accountStatuses describes the configured client accounts, sorted by name. The
// configuration current may be nil.
func (d *Daemon) accountStatuses(current *fleet.Configuration) []operator.ClientAccount {
	if current == nil {
		return nil
	}

	var list []operator.ClientAccount

	for account := range current.ClientAccounts.All() {
		spent, rejected := d.ingress.TokenUsage(account.Name)
		list = append(list, operator.ClientAccount{
			Name: account.Name, Rate: account.Rate, Burst: account.Burst, Spent: spent, Rejected: rejected,
		})
	}

	slices.SortFunc(list, func(a, b operator.ClientAccount) int { return cmp.Compare(a.Name, b.Name) })

	return list
}

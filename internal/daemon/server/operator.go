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

// storeRecent is how long after its last answer the store counts as reachable.
// It is longer than the store lets a watch wait.
const storeRecent = 30 * time.Second

func (d *Daemon) startOperator(context.Context) error {
	router := echo.New()
	router.GET(metricsPath, echo.WrapHandler(expvar.Handler()))
	operator.Register(router, d)

	return d.serve("operators", d.settings.OperatorAddress, router)
}

// metricsPath serves the variables of the process.
const metricsPath = "/Metrics"

// startMetrics serves the metrics at an address of their own. A daemon whose
// address is taken runs without it, since requests do not depend on metrics.
func (d *Daemon) startMetrics(context.Context) error {
	if !d.settings.MetricsAddress.IsValid() {
		return nil
	}

	router := echo.New()
	router.GET(metricsPath, echo.WrapHandler(expvar.Handler()))

	if err := d.serve("metrics", d.settings.MetricsAddress, router); err != nil {
		d.log.Warn("metrics are served at the operators' address only", "error", err)
	}

	return nil
}

// Name returns the daemon's name.
func (d *Daemon) Name() string {
	return d.settings.Name
}

// WithdrawKey withdraws a key in the whole fleet. The store learns of it from
// the daemons that watch it, also after an outage.
func (d *Daemon) WithdrawKey(hash keys.Hash, who string) {
	account, _ := d.keys.Lookup(hash)
	entry := configuration.KeyEntry(hash.String(), keystore.Key{ClientAccount: account, Withdrawn: true})

	d.membership.Publish(entry)
	// The own table is not left to the subscription, because the operator is
	// told that this daemon refuses the key.
	d.applyKey(entry)
	d.log.Info("key withdrawn", "hash", hash.String(), "operator", who)
}

// SetDraining stops or allows new requests to an upstream, which need not be known.
func (d *Daemon) SetDraining(upstream string, draining bool, who string) {
	version := uint64(time.Now().UnixNano()) //nolint:gosec // after 1970

	// A later decision replaces an earlier one also when clocks differ.
	if old, known := d.membership.Get(fleet.KindDrain, upstream); known {
		version = max(version, old.Version+1)
	}

	value, err := proto.Marshal(&peerpb.Drain{Upstream: upstream, Draining: draining, Who: who})
	if err != nil {
		panic("encoding a drain entry: " + err.Error())
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

// HasUpstream reports whether an upstream is announced anywhere.
func (d *Daemon) HasUpstream(upstream string) bool {
	for _, service := range d.directory.Services() {
		for _, one := range d.directory.Upstreams(service) {
			if one.Name == upstream {
				return true
			}
		}
	}

	return false
}

// Status returns this daemon's view of the fleet.
func (d *Daemon) Status() operator.Status {
	contact := d.loader.LastStoreContact()
	status := operator.Status{
		Daemon: d.settings.Name,
		Store: operator.Store{
			Reachable: !contact.IsZero() && time.Since(contact) < storeRecent, LastContact: contact,
			AuditPending: d.audit.Pending(), AuditDropped: d.audit.Dropped(),
		},
	}

	current := d.loader.Current()
	if current != nil {
		status.ConfigurationVersion = current.Version
	}

	_, withdrawn := d.keys.Counts()

	for _, member := range d.membership.Members() {
		if member.Status == gossip.Faulty {
			continue
		}

		one := operator.Daemon{
			Name: member.Name, AvailabilityZone: member.AvailabilityZone, Region: member.Region,
			OperatorAddress: member.OperatorAddress, ConfigurationVersion: member.ConfigurationVersion,
			Leaving: member.Leaving,
		}
		if member.Name == d.settings.Name {
			one.WithdrawnKeys, one.StoreContact = uint64(withdrawn), contact //nolint:gosec // a count
			one.ConfigurationVersion = status.ConfigurationVersion
		}

		status.Daemons = append(status.Daemons, one)
	}

	slices.SortFunc(status.Daemons, func(a, b operator.Daemon) int { return cmp.Compare(a.Name, b.Name) })

	status.Services = d.serviceStatus(current)
	status.ClientAccounts = d.accountStatus(current)

	return status
}

func (d *Daemon) serviceStatus(current *fleet.Configuration) []operator.Service {
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

		list = append(list, d.oneService(name, floor))
	}

	return list
}

func (d *Daemon) oneService(name string, floor fleet.CapacityFloor) operator.Service {
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

// Upstreams returns the daemon's own upstreams with their present load.
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

// upstreamStatus describes an upstream by what its egress knows if that is here,
// and else by what the ingress heard of it last.
func (d *Daemon) upstreamStatus(upstream directory.Upstream) operator.Upstream {
	load, local := d.egress.Load(upstream.Name)
	heardAt := time.Now()

	if !local || upstream.Daemon != d.settings.Name {
		load, heardAt = d.ingress.LastLoad(upstream.Name)
	}

	return operator.Upstream{
		Name: upstream.Name, Daemon: upstream.Daemon, State: upstream.State.String(), Alive: upstream.Alive,
		Slots:     upstream.Slots,
		Suspicion: load.Suspicion, Suspect: load.Suspect, InFlight: load.InFlight, Queued: load.Queued, HeardAt: heardAt,
	}
}

func (d *Daemon) accountStatus(current *fleet.Configuration) []operator.ClientAccount {
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

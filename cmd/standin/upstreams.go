package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

type upstreamsCommand struct {
	Prefix      string         `arg:"--prefix,required" help:"the names are PREFIX-SERVICE"`
	Daemon      netip.AddrPort `arg:"--daemon,required" help:"local address of the daemon beside the upstreams"`
	Control     netip.AddrPort `arg:"--control,required" help:"address that lists the upstreams"`
	Services    string         `arg:"--services,required" help:"names of the services, separated by commas"`
	Slots       int            `arg:"--slots" default:"3" help:"requests that each runs at once"`
	ServiceTime time.Duration  `arg:"--servicetime" default:"10ms" help:"median time of a request"`
	Sigma       float64        `arg:"--sigma" default:"0.3" help:"spread of the log-normal time of a request; 0 is constant"`
}

func (c *upstreamsCommand) run(ctx context.Context) error {
	addresses := make(map[string]netip.AddrPort)

	for service := range strings.SplitSeq(c.Services, ",") {
		name := c.Prefix + "-" + service

		standin, cleanUp, err := upstream.New(upstream.Settings{
			Name: name, Service: service, Address: netip.MustParseAddrPort("127.0.0.1:0"), Daemon: c.Daemon,
			Slots: c.Slots, ServiceTime: c.ServiceTime, Sigma: c.Sigma, Seed: xxhash.Sum64String(name),
		})
		if err != nil {
			return fmt.Errorf("start upstream %s: %w", name, err)
		}

		defer cleanUp()

		addresses[service] = standin.Address()
	}

	return serve(ctx, c.Control, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(addresses)
	}))
}

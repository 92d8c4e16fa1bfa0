package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/upstream"
)

// UpstreamAddresses returns where the upstreams beside a daemon listen, by
// service.
func (d *Daemon) UpstreamAddresses(ctx context.Context) (map[string]netip.AddrPort, error) {
	var addresses map[string]netip.AddrPort

	if err := getJSON(ctx, "http://"+d.ControlAddress.String()+"/", &addresses); err != nil {
		return nil, err
	}

	return addresses, nil
}

// SetMode changes how the upstream of a service beside the daemon behaves.
func (d *Daemon) SetMode(ctx context.Context, service string, mode upstream.Mode) error {
	addresses, err := d.UpstreamAddresses(ctx)
	if err != nil {
		return err
	}

	body, err := json.Marshal(mode)
	if err != nil {
		return fmt.Errorf("encode the mode: %w", err)
	}

	answer, err := SendRequest(ctx, http.MethodPut, "http://"+addresses[service].String()+"/Mode", string(body))
	if err != nil {
		return err
	}

	_ = answer.Body.Close()

	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("upstream of %s beside %s refused the mode with status %d", service, d.Name, answer.StatusCode)
	}

	return nil
}

// SetPlatformFaults switches the faults of the stand-in platform.
func (c *Cluster) SetPlatformFaults(ctx context.Context, faults string) error {
	answer, err := SendRequest(ctx, http.MethodPut, "http://"+c.PlatformAddress.String()+"/Faults", faults)
	if err != nil {
		return err
	}

	return errors.Join(answer.Body.Close())
}

// CollectRuns returns how often each request ran, and how many of the values that
// upstreams saw contain one of the keys.
func (c *Cluster) CollectRuns(ctx context.Context, keys []string) (ran map[string]int, leaks int, err error) {
	ran = make(map[string]int)

	for _, d := range c.Daemons {
		addresses, err := d.UpstreamAddresses(ctx)
		if err != nil {
			return nil, 0, err
		}

		for _, address := range addresses {
			var record upstream.Record

			if err := getJSON(ctx, "http://"+address.String()+"/Record", &record); err != nil {
				return nil, 0, err
			}

			for id, times := range record.Runs {
				ran[id] += times
			}

			leaks += count(record.Values, keys)
		}
	}

	return ran, leaks, nil
}

// UpstreamRecord returns what the upstream of the given name has seen.
func (c *Cluster) UpstreamRecord(ctx context.Context, name string) (upstream.Record, error) {
	var record upstream.Record

	for _, d := range c.Daemons {
		service, own := strings.CutPrefix(name, d.Name+"-")
		if !own {
			continue
		}

		addresses, err := d.UpstreamAddresses(ctx)
		if err != nil {
			return record, err
		}

		return record, getJSON(ctx, "http://"+addresses[service].String()+"/Record", &record)
	}

	return record, fmt.Errorf("no daemon has an upstream %q", name)
}

func count(values, keys []string) int {
	found := 0

	for _, value := range values {
		for _, key := range keys {
			if key != "" && strings.Contains(value, key) {
				found++
			}
		}
	}

	return found
}

func getJSON(ctx context.Context, url string, target any) error {
	answer, err := SendRequest(ctx, http.MethodGet, url, "")
	if err != nil {
		return err
	}

	defer func() { _ = answer.Body.Close() }()

	if err := json.NewDecoder(answer.Body).Decode(target); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}

	return nil
}

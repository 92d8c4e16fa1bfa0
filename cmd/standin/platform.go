package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/kumquatshelf/kumquatshelf/internal/standin/platform"
)

const (
	// readHeaderTimeout limits the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	// lostAnswerSeed seeds the random choice of the writes whose answers are lost. It is
	// constant, so that each run makes the same choices.
	lostAnswerSeed = 1
)

type platformCommand struct {
	Address netip.AddrPort `arg:"--address,required" help:"address of the object API"`
}

func (c *platformCommand) run(ctx context.Context) error {
	store := platform.New(rand.New(rand.NewPCG(lostAnswerSeed, 0))) //nolint:gosec // reproducible faults

	return serve(ctx, c.Address, store.Handler())
}

// serve runs an HTTP server on address until ctx ends. It returns an error if the server
// cannot listen or fails.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: readHeaderTimeout}

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}

	return nil
}

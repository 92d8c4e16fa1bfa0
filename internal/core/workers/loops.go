package workers

import (
	"context"
	"math/rand/v2"
	"sync"
)

// StartLoops starts loops that run until their context ends, each with a source of
// randomness of its own, and returns a function that ends them and waits.
func StartLoops(random *rand.Rand, loops ...func(ctx context.Context, random *rand.Rand)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())

	var running sync.WaitGroup

	for _, loop := range loops {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) //nolint:gosec // spreads retries, keeps no secret

		running.Go(func() { loop(ctx, own) })
	}

	return func() {
		cancel()
		running.Wait()
	}
}

package workers

import (
	"context"
	"math/rand/v2"
	"sync"
)

// StartLoops starts each loop on its own goroutine, with its own random generator seeded
// from random. It returns a function that cancels the context of the loops and waits until
// all have returned.
func StartLoops(random *rand.Rand, loops ...func(ctx context.Context, random *rand.Rand)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())

	var running sync.WaitGroup

	for _, loop := range loops {
		loopRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) //nolint:gosec // used to spread retries, not for secrets

		running.Go(func() { loop(ctx, loopRandom) })
	}

	return func() {
		cancel()
		running.Wait()
	}
}

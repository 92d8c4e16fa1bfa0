package broadcast

import "testing"

// Guards against a signal that blocks until it is received, that is lost while the
// previous one has not been received, or that reaches an ended subscription.
func TestSubscribers(t *testing.T) {
	t.Parallel()

	var subscribers Subscribers

	subscribers.Notify()

	subscribed, unsubscribe := subscribers.Subscribe()
	defer unsubscribe()

	ended, endSubscription := subscribers.Subscribe()
	endSubscription()

	subscribers.Notify()
	subscribers.Notify()

	for name, tt := range map[string]struct {
		changed <-chan struct{}
		want    int
	}{"subscribed": {subscribed, 1}, "ended": {ended, 0}} {
		got := 0

		for pending := true; pending; {
			select {
			case <-tt.changed:
				got++
			default:
				pending = false
			}
		}

		if got != tt.want {
			t.Errorf("%s: got %d signals, want %d", name, got, tt.want)
		}
	}
}

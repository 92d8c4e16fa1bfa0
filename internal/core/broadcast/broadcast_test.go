package broadcast

import "testing"

// Guards against an announcement that waits for a subscriber, one that is lost
// because another had not been taken, and one that reaches a former subscriber.
func TestSubscribers(t *testing.T) {
	t.Parallel()

	var subscribers Subscribers

	subscribers.Notify()

	slow, endSlow := subscribers.Subscribe()
	defer endSlow()

	gone, endGone := subscribers.Subscribe()
	endGone()

	subscribers.Notify()
	subscribers.Notify()

	for name, tt := range map[string]struct {
		changed <-chan struct{}
		want    int
	}{"subscribed": {slow, 1}, "ended": {gone, 0}} {
		got := 0

		for waiting := true; waiting; {
			select {
			case <-tt.changed:
				got++
			default:
				waiting = false
			}
		}

		if got != tt.want {
			t.Errorf("%s: got %d signals, want %d", name, got, tt.want)
		}
	}
}

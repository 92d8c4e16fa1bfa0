package upstream

import (
	"net/http"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

// Guards against a limit or a leave that an upstream names in its answers and that is not
// recognized.
func TestOwnSignals(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		header http.Header
		want   fleet.UpstreamSignals
	}{
		"nothing": {http.Header{}, fleet.UpstreamSignals{}},
		"both": {
			http.Header{HeaderLimit: {"0.5"}, HeaderLeaving: {"true"}},
			fleet.UpstreamSignals{HasLimit: true, Limit: 0.5, Leaving: true},
		},
		"not leaving": {http.Header{HeaderLeaving: {"false"}}, fleet.UpstreamSignals{}},
	} {
		if got := (OwnProtocol{}).Signals(tt.header); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tt.want)
		}
	}
}

package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/keys"
)

// fakeController counts the actions that reach the daemon.
type fakeController struct{ actions int }

func (*fakeController) Name() string                             { return "a" }
func (*fakeController) Status() Status                           { return Status{} }
func (*fakeController) Upstreams() []Upstream                    { return nil }
func (*fakeController) HasUpstream(string) bool                  { return true }
func (c *fakeController) WithdrawKey(keys.Hash, string)          { c.actions++ }
func (c *fakeController) SetDraining(_ string, _ bool, _ string) { c.actions++ }

// Guards against names from operators that are spread through the fleet although daemons
// cannot encode them.
func TestOperatorNamesThatCannotBeEncoded(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		path, operator string
		want           int
	}{
		"valid":             {"/Upstreams/i-1/Undrain", "ana", http.StatusOK},
		"name not UTF-8":    {"/Upstreams/%FF%FE/Undrain", "ana", http.StatusBadRequest},
		"drain of the same": {"/Upstreams/%FF%FE/Drain", "ana", http.StatusBadRequest},
		"NUL":               {"/Upstreams/i%00/Undrain", "ana", http.StatusBadRequest},
		"name of kilobytes": {"/Upstreams/" + strings.Repeat("i", 9<<10) + "/Undrain", "ana", http.StatusBadRequest},
		"operator":          {"/Upstreams/i-1/Undrain", "\xff\xfe", http.StatusBadRequest},
		"long operator":     {"/Upstreams/i-1/Undrain", strings.Repeat("a", 9<<10), http.StatusBadRequest},
		"no operator":       {"/Upstreams/i-1/Undrain", "", http.StatusBadRequest},
	} {
		controller, e := &fakeController{}, echo.New()
		Register(e, controller)
		request := httptest.NewRequest(http.MethodPost, tt.path, http.NoBody)
		request.Header[HeaderOperator] = []string{tt.operator}
		answer := httptest.NewRecorder()
		e.ServeHTTP(answer, request)
		if answer.Code != tt.want || (controller.actions > 0) != (tt.want == http.StatusOK) {
			t.Errorf("%s: got %d with %d actions, want %d", name, answer.Code, controller.actions, tt.want)
		}
		if answer.Body.Len() > 1<<10 {
			t.Errorf("%s: got an answer of %d bytes, want a short one", name, answer.Body.Len())
		}
	}
}

package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against malformed requests that write or switch faults.
func TestHandlerRejectsMalformedRequests(t *testing.T) {
	t.Parallel()
	store := New(rand.New(rand.NewPCG(1, 2)))
	handler := store.Handler()
	for name, c := range map[string]struct {
		method, target, body string
		header               map[string]string
		want                 int
	}{
		"no condition":       {"PUT", "/Objects/Part/a", "1", nil, 428},
		"both conditions":    {"PUT", "/Objects/Part/a", "1", map[string]string{"If-Match": `"1"`, "If-None-Match": "*"}, 428},
		"unquoted version":   {"PUT", "/Objects/Part/a", "1", map[string]string{"If-Match": "1"}, 400},
		"malformed since":    {"GET", "/Objects/Part?Since=x&Wait=1s", "", nil, 400},
		"malformed wait":     {"GET", "/Objects/Part?Since=1&Wait=1", "", nil, 400},
		"unknown fault":      {"PUT", "/Faults", `{"Outages":true}`, nil, 400},
		"malformed latency":  {"PUT", "/Faults", `{"Latency":"1"}`, nil, 400},
		"negative loss":      {"PUT", "/Faults", `{"LoseAnswers":-1}`, nil, 400},
		"faults":             {"PUT", "/Faults", `{"Latency":"0s","LoseAnswers":0.5}`, nil, 200},
		"calls":              {"GET", "/Calls", "", nil, 200},
		"an empty list":      {"GET", "/Objects/Part", "", nil, 200},
		"deletes do not run": {"DELETE", "/Objects/Part/a", "", nil, 405},
	} {
		request := httptest.NewRequest(c.method, c.target, strings.NewReader(c.body))
		for key, value := range c.header {
			request.Header.Set(key, value)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != c.want {
			t.Errorf("%s: got status %d, want %d", name, recorder.Code, c.want)
		}
	}
	if got := store.Calls(); got.Put != 0 {
		t.Errorf("got %d writes, want none", got.Put)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/Objects/Part", nil))
	if got, want := strings.TrimSpace(recorder.Body.String()), "[]"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

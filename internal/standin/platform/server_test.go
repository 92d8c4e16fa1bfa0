package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	wire "github.com/kumquatshelf/kumquatshelf/platform"
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
		"no object":          {"POST", wire.PathObjects + "Part", "1", nil, 400},
		"no revision":        {"PUT", wire.PathObjects + "Part/a", `{"metadata":{"name":"a"},"spec":"MQ=="}`, nil, 400},
		"not in base64":      {"POST", wire.PathObjects + "Part", `{"metadata":{"name":"a"},"spec":"1"}`, nil, 400},
		"malformed revision": {"GET", wire.PathObjects + "Part?watch=x&waitMs=1", "", nil, 400},
		"malformed wait":     {"GET", wire.PathObjects + "Part?watch=1&waitMs=1s", "", nil, 400},
		"unknown fault":      {"PUT", "/Faults", `{"Outages":true}`, nil, 400},
		"malformed latency":  {"PUT", "/Faults", `{"Latency":"1"}`, nil, 400},
		"negative loss":      {"PUT", "/Faults", `{"LoseAnswers":-1}`, nil, 400},
		"faults":             {"PUT", "/Faults", `{"Latency":"0s","LoseAnswers":0.5}`, nil, 200},
		"calls":              {"GET", "/Calls", "", nil, 200},
		"an empty list":      {"GET", wire.PathObjects + "Part", "", nil, 200},
		"delete of absent":   {"DELETE", wire.PathObjects + "Part/a", "", nil, 409},
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
	if got := store.CallCounts(); got.BytesWritten != 0 {
		t.Errorf("got %d bytes written, want none", got.BytesWritten)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, wire.PathObjects+"Part", nil))
	if got, want := strings.TrimSpace(recorder.Body.String()), `{"items":[],"more":false,"storeRevision":0}`; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

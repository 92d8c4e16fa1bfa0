package upstream

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

type fakeDirectory struct {
	result    fleet.AnnounceResult
	announced []fleet.Upstream
}

func (d *fakeDirectory) Announce(upstream fleet.Upstream) fleet.AnnounceResult {
	d.announced = append(d.announced, upstream)

	return d.result
}

func (d *fakeDirectory) Withdraw(name string) bool { return name == "known" }

// Guards against invalid announcements that reach the directory, and against error
// responses that do not name the invalid field.
func TestAnnounceEndpoint(t *testing.T) {
	t.Parallel()
	const good = `{"Service":"Calendar","Address":"127.0.0.1:81","Slots":3,"State":"Ready"}`
	for name, tt := range map[string]struct {
		method, path, body string
		result             fleet.AnnounceResult
		wantStatus         int
		wantBody           string
	}{
		"good":            {"PUT", "/Upstreams/c-1", good, fleet.Announced, 204, ""},
		"taken":           {"PUT", "/Upstreams/c-1", good, fleet.NameTaken, 409, `c-1`},
		"no room":         {"PUT", "/Upstreams/c-1", good, fleet.TooManyUpstreams, 503, "maximum"},
		"bad name":        {"PUT", "/Upstreams/c%201", good, 0, 400, "name"},
		"no body":         {"PUT", "/Upstreams/c-1", "", 0, 400, "body"},
		"not JSON":        {"PUT", "/Upstreams/c-1", "Slots=3", 0, 400, "body"},
		"two objects":     {"PUT", "/Upstreams/c-1", good + good, 0, 400, "single"},
		"unknown field":   {"PUT", "/Upstreams/c-1", strings.Replace(good, "Slots", "Slotz", 1), 0, 400, "Slotz"},
		"large body":      {"PUT", "/Upstreams/c-1", good + strings.Repeat(" ", 5000), 0, 400, "4096"},
		"no service":      {"PUT", "/Upstreams/c-1", strings.Replace(good, "Calendar", "", 1), 0, 400, "Service"},
		"host name":       {"PUT", "/Upstreams/c-1", strings.Replace(good, "127.0.0.1", "localhost", 1), 0, 400, "Address"},
		"no port":         {"PUT", "/Upstreams/c-1", strings.Replace(good, ":81", ":0", 1), 0, 400, "Address"},
		"any address":     {"PUT", "/Upstreams/c-1", strings.Replace(good, "127.0.0.1", "0.0.0.0", 1), 0, 400, "Address"},
		"no slots":        {"PUT", "/Upstreams/c-1", strings.Replace(good, "3", "0", 1), 0, 400, "Slots"},
		"too many slots":  {"PUT", "/Upstreams/c-1", strings.Replace(good, "3", "1025", 1), 0, 400, "Slots"},
		"unknown state":   {"PUT", "/Upstreams/c-1", strings.Replace(good, "Ready", "Fine", 1), 0, 400, "State"},
		"name not UTF-8":  {"PUT", "/Upstreams/%FF%FE", good, 0, 400, "name"},
		"port 99999":      {"PUT", "/Upstreams/c-1", strings.Replace(good, ":81", ":99999", 1), 0, 400, "Address"},
		"fraction":        {"PUT", "/Upstreams/c-1", strings.Replace(good, "3", "2.5", 1), 0, 400, "Slots"},
		"huge number":     {"PUT", "/Upstreams/c-1", strings.Replace(good, "3", "1e400", 1), 0, 400, "Slots"},
		"delete":          {"DELETE", "/Upstreams/known", "", 0, 204, ""},
		"delete unknown":  {"DELETE", "/Upstreams/c-1", "", 0, 404, "not announced"},
		"another  method": {"POST", "/Upstreams/c-1", good, 0, 405, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			directory := &fakeDirectory{result: tt.result}
			e := echo.New()
			Register(e, directory)
			recorder := httptest.NewRecorder()
			e.ServeHTTP(recorder, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			if recorder.Code != tt.wantStatus || !strings.Contains(recorder.Body.String(), tt.wantBody) {
				t.Errorf("got %d %s, want %d %s", recorder.Code, recorder.Body, tt.wantStatus, tt.wantBody)
			}
			if recorder.Code == http.StatusBadRequest && len(directory.announced) > 0 {
				t.Errorf("got %v announced, want none", directory.announced)
			}
			want := fleet.Upstream{Name: "c-1", Service: "Calendar", Address: netip.MustParseAddrPort("127.0.0.1:81"), Slots: 3, State: fleet.Ready}
			if recorder.Code == http.StatusNoContent && tt.method == "PUT" && directory.announced[0] != want {
				t.Errorf("got %v, want %v", directory.announced[0], want)
			}
		})
	}
}

// Guards against a panic on arbitrary announcements, and against accepted ones of upstreams
// that cannot be stored, sent to other daemons or called.
func FuzzAnnounceEndpoint(f *testing.F) {
	const good = `{"Service":"Calendar","Address":"127.0.0.1:81","Slots":3,"State":"Ready"}`
	f.Add("c-1", good)
	f.Add("\xff\xfe", good)
	f.Add("c\x00", good)
	f.Add(strings.Repeat("c", 8<<10), good)
	for _, replacement := range [][2]string{
		{"3", "1e400"},
		{"3", "-1"},
		{"3", "0.5"},
		{":81", ":0"},
		{":81", ":-1"},
		{":81", ":65536"},
		{"Calendar", "\xff\xfe"},
		{"3", "3,\"Slots\":99999"},
		{"3", strings.Repeat("[", 10_001)},
		{"Ready", "\u0000"},
	} {
		f.Add("c-1", strings.Replace(good, replacement[0], replacement[1], 1))
	}
	f.Add("c-1", good[:30])
	f.Fuzz(func(t *testing.T, name, body string) {
		upstream, err := parseAnnouncement(name, strings.NewReader(body))
		if err == nil && upstream.Validate() != nil {
			t.Errorf("got %+v of %q accepted from %q", upstream, name, body)
		}
	})
}

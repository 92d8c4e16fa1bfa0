package teamfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/core/fleet"
)

const validTeamFile = `Team = Calendars
[Service Calendar]
Floor = 60%
Deadline = 2s
[Route CalendarRead]
Service = Calendar
Host = estanques.example
PathPrefix = /calendar
Methods = GET, HEAD
Idempotent = true
[ClientAccount ClubMiraflores]
Rate = 90/m
Burst = 100
`

// noticesTeam returns the team file of a second team, with the given lines.
func noticesTeam(lines string) string {
	return "Team = Notices\n" + lines
}

// routeSection returns a [Route] section for the service Calendar.
func routeSection(name, prefix, methods string) string {
	return "[Route " + name + "]\nService = Calendar\nHost = Estanques.example\nPathPrefix = " + prefix + "\nMethods = " + methods + "\n"
}

// Guards against faults in a team file that are accepted, or reported without the
// file, section and key.
func TestLoadReportsEachFault(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		file  string
		slots int
		want  []string // one substring for each finding, in order
	}{
		"unknown key":            {file: validTeamFile + "Brust = 1\n", want: []string{"a.ini: [ClientAccount ClubMiraflores] Brust: is not a known key"}},
		"unknown section":        {file: validTeamFile + "[Router X]\n", want: []string{"a.ini: [Router X]: is not a known section"}},
		"unknown top key":        {file: "Owner = x\n" + validTeamFile, want: []string{"a.ini: Owner: is not a known key"}},
		"missing team":           {file: strings.TrimPrefix(validTeamFile, "Team = Calendars\n"), want: []string{"a.ini: Team: is missing"}},
		"key twice":              {file: validTeamFile + "Burst = 100\n", want: []string{"Burst: is given 2 times"}},
		"section twice":          {file: validTeamFile + "[ClientAccount ClubMiraflores]\nRate = 1/s\nBurst = 1\n", want: []string{"[ClientAccount ClubMiraflores]: is defined twice"}},
		"unreadable lines":       {file: validTeamFile + "what\nis this\n", want: []string{"what", "is this"}},
		"rate without unit":      {file: strings.Replace(validTeamFile, "90/m", "90", 1), want: []string{`Rate: "90" is not accepted; expected a number above 0`}},
		"rate zero":              {file: strings.Replace(validTeamFile, "90/m", "0/s", 1), want: []string{"Rate:"}},
		"rate not a number":      {file: strings.Replace(validTeamFile, "90/m", "NaN/s", 1), want: []string{"Rate:"}},
		"rate infinite":          {file: strings.Replace(validTeamFile, "90/m", "Inf/s", 1), want: []string{"Rate:"}},
		"burst negative":         {file: strings.Replace(validTeamFile, "100", "-1", 1), want: []string{`Burst: "-1"`}},
		"burst zero":             {file: strings.Replace(validTeamFile, "100", "0", 1), want: []string{`Burst: "0"`}},
		"floor above capacity":   {file: strings.Replace(validTeamFile, "60%", "101%", 1), want: []string{`Floor: "101%" is above the capacity`}},
		"floor zero":             {file: strings.Replace(validTeamFile, "60%", "0%", 1), want: []string{"Floor:"}},
		"floor above slots":      {file: strings.Replace(validTeamFile, "60%", "25", 1), slots: 24, want: []string{"Floor: 25 slots are above the capacity; expected at most the 24"}},
		"deadline without unit":  {file: strings.Replace(validTeamFile, "2s", "2", 1), want: []string{`Deadline: "2"`}},
		"deadline negative":      {file: strings.Replace(validTeamFile, "2s", "-2s", 1), want: []string{`Deadline: "-2s"`}},
		"unknown service":        {file: strings.Replace(validTeamFile, "Service = Calendar", "Service = Agenda", 1), want: []string{`[Route CalendarRead] Service: no team defines the service "Agenda"`}},
		"path without slash":     {file: strings.Replace(validTeamFile, "/calendar", "calendar", 1), want: []string{"PathPrefix:"}},
		"path with dot segment":  {file: strings.Replace(validTeamFile, "/calendar", "/a/../b", 1), want: []string{"PathPrefix:"}},
		"host with port":         {file: strings.Replace(validTeamFile, "estanques.example", "estanques.example:80", 1), want: []string{"Host:"}},
		"method unknown":         {file: strings.Replace(validTeamFile, "HEAD", "head", 1), want: []string{`Methods: "head"`}},
		"method twice":           {file: strings.Replace(validTeamFile, "HEAD", "GET", 1), want: []string{`Methods: "GET" is listed twice`}},
		"idempotent misspelt":    {file: strings.Replace(validTeamFile, "true", "yes", 1), want: []string{`Idempotent: "yes"`}},
		"threshold not a number": {file: strings.Replace(validTeamFile, "Deadline = 2s", "Deadline = 2s\nDetectionThreshold = NaN", 1), want: []string{"DetectionThreshold:"}},
		"all in one pass": {
			file: strings.NewReplacer("60%", "0", "2s", "2", "90/m", "x").Replace(validTeamFile),
			want: []string{"Floor:", "Deadline:", "Rate:"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots := map[string]int{}
			if c.slots > 0 {
				slots["Calendar"] = c.slots
			}
			configuration, findings := Load(1, []File{{"a.ini", []byte(c.file)}}, slots)
			checkLoad(t, configuration, findings, c.want)
		})
	}
}

// Guards against a configuration in which two teams define the same name or match
// the same requests.
func TestLoadReportsConflictsBetweenTeams(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		file string
		want []string
	}{
		"no conflict":            {file: noticesTeam(routeSection("Read", "/notices", "GET"))},
		"sibling prefix":         {file: noticesTeam(routeSection("Read", "/calendars", "GET"))},
		"other method":           {file: noticesTeam(routeSection("Write", "/calendar", "POST"))},
		"same prefix and method": {file: noticesTeam(routeSection("Read", "/calendar/", "POST, GET")), want: []string{"[Route Read] PathPrefix: GET estanques.example/calendar overlaps [Route CalendarRead] in a.ini"}},
		"inside other's prefix":  {file: noticesTeam(routeSection("Read", "/calendar/old/x", "POST")), want: []string{"[Route Read] PathPrefix: estanques.example/calendar/old/x is inside /calendar of"}},
		"around other's prefix":  {file: noticesTeam(routeSection("Read", "/", "POST")), want: []string{"a.ini: [Route CalendarRead] PathPrefix: estanques.example/calendar is inside / of [Route Read] in b.ini"}},
		"service":                {file: noticesTeam("[Service Calendar]\nFloor = 1\nDeadline = 1s\n"), want: []string{"b.ini: [Service Calendar]: Service Calendar is already defined in a.ini"}},
		"client account":         {file: noticesTeam("[ClientAccount ClubMiraflores]\nRate = 1/s\nBurst = 1\n"), want: []string{"is already defined in a.ini"}},
		"team":                   {file: "Team = Calendars\n", want: []string{"b.ini: Team: Team Calendars is already defined in a.ini"}},
		"route to same service":  {file: noticesTeam(routeSection("CalendarRead", "/x", "GET")), want: []string{"b.ini: [Route CalendarRead]:"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			configuration, findings := Load(1, []File{{"a.ini", []byte(validTeamFile)}, {"b.ini", []byte(c.file)}}, nil)
			checkLoad(t, configuration, findings, c.want)
		})
	}
}

// checkLoad checks that there are as many findings as strings in want, that each
// finding contains the string with the same index, and that there is a configuration
// if and only if want is empty.
func checkLoad(t *testing.T, configuration *fleet.Configuration, findings inifile.Findings, want []string) {
	t.Helper()
	if (configuration == nil) != (len(want) > 0) || len(findings) != len(want) {
		t.Fatalf("got configuration %v with findings %v, want %d findings", configuration, findings, len(want))
	}
	for i, part := range want {
		if got := findings[i].String(); !strings.Contains(got, part) {
			t.Errorf("got %q, want it to contain %q", got, part)
		}
	}
}

// Guards against example team files that no longer load, or whose numbers of
// services and client accounts differ from the present sizes of the deployments (4
// and 8 each), which section 1.2 of the design lists.
func TestExamples(t *testing.T) {
	t.Parallel()
	for deployment, slots := range map[string]int{"lima": 24, "villalobos": 18} {
		paths, err := filepath.Glob("../../../examples/" + deployment + "/teams/*.ini")
		if err != nil {
			t.Fatal(err)
		}
		var files []File
		for _, path := range paths {
			content, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, File{path, content})
		}
		configuration, findings := Load(1, files, nil)
		if len(findings) > 0 {
			t.Fatalf("got findings %v, want none", findings)
		}
		if got := len(configuration.Services); got != 4 {
			t.Errorf("%s: got %d services, want 4", deployment, got)
		}
		if got := configuration.ClientAccounts.Len(); got != 8 {
			t.Errorf("%s: got %d client accounts, want 8", deployment, got)
		}
		for _, service := range configuration.Services {
			if service.CapacityFloor.Slots > slots {
				t.Errorf("got floor %d of %s, want at most %d", service.CapacityFloor.Slots, service.Name, slots)
			}
		}
	}
}

// Guards against panics while parsing, and against accepted values outside the
// ranges on which the daemons rely.
func FuzzTeamFile(f *testing.F) {
	f.Add([]byte(validTeamFile))
	f.Add([]byte("Team = A\n[Route B]\nMethods = GET,\n[DEFAULT]\n[Service \"\"\"]\n- = 1\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, findings := Parse(File{"f.ini", content})
		configuration, found := Combine(7, []ParsedFile{parsed}, nil)
		for _, finding := range append(findings, found...) {
			if finding.File != "f.ini" || finding.Problem == "" {
				t.Fatalf("got finding %#v, want file and problem", finding)
			}
		}
		if len(findings) > 0 || configuration == nil {
			return
		}
		for account := range configuration.ClientAccounts.All() {
			if !(account.Rate > 0 && account.Rate <= maxLimit) || account.Burst < 1 || account.Team != parsed.Team.Name {
				t.Fatalf("got client account %+v, want limits above zero", account)
			}
		}
		for _, service := range configuration.Services {
			if (service.CapacityFloor.Percent > 0) == (service.CapacityFloor.Slots > 0) || service.CapacityFloor.Percent > 100 || service.Deadline <= 0 || !(service.DetectionThreshold > 0) {
				t.Fatalf("got service %+v, want values in range", service)
			}
		}
		for _, r := range configuration.Routes {
			if _, ok := configuration.Services[r.Service]; !ok || r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/") || len(r.Methods) == 0 {
				t.Fatalf("got route %+v, want a complete route to a defined service", r)
			}
		}
	})
}

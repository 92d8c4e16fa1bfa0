package main

import (
	"context"
	"fmt"
	"os"

	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/config/teamfile"
)

type validateCommand struct {
	Settings []string `arg:"--settings,separate" placeholder:"FILE" help:"a daemon's settings file; may be repeated"`
	Files    []string `arg:"positional" placeholder:"FILE" help:"team files, which are checked together"`
}

func (c *validateCommand) run(_ context.Context, p *program) int {
	if len(c.Files)+len(c.Settings) == 0 {
		p.errorf("no file is given; expected team files or --settings FILE")

		return exitUsage
	}
	files, findings := readFiles(c.Files)
	configuration, found := teamfile.Load(0, files, nil)
	findings = append(findings, found...)
	for _, name := range c.Settings {
		read, found := readFiles([]string{name})
		findings = append(findings, found...)
		for _, file := range read {
			_, found := settings.Parse(file.Name, file.Content)
			findings = append(findings, found...)
		}
	}
	if len(findings) > 0 {
		return p.printFindings(findings)
	}
	p.printf("no findings: %d services, %d routes, %d client accounts in %d team files; %d settings files",
		len(configuration.Services), len(configuration.Routes), configuration.ClientAccounts.Len(), len(files), len(c.Settings))

	return exitOK
}

// printFindings prints findings to stderr, one per line, and returns the exit code.
func (p *program) printFindings(findings inifile.Findings) int {
	_, _ = fmt.Fprintln(p.stderr, findings.String())
	p.errorf("%d findings; nothing was changed", len(findings))

	return exitRejected
}

// readFiles reads the named files. It returns a finding for each file that cannot be read.
func readFiles(names []string) ([]teamfile.File, inifile.Findings) {
	var files []teamfile.File
	var findings inifile.Findings
	for _, name := range names {
		content, err := os.ReadFile(name) //nolint:gosec // the operator names the files
		if err != nil {
			findings = append(findings, inifile.Finding{File: name, Problem: "cannot be read: " + err.Error(), Expected: "a readable file"})

			continue
		}
		files = append(files, teamfile.File{Name: name, Content: content})
	}

	return files, findings
}

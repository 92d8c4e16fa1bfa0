// Command kumquatshelfd is the daemon that runs beside upstreams.
package main

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/kumquatshelf/kumquatshelf/internal/adapter/stdout"
	"github.com/kumquatshelf/kumquatshelf/internal/config/inifile"
	"github.com/kumquatshelf/kumquatshelf/internal/config/settings"
	"github.com/kumquatshelf/kumquatshelf/internal/daemon/server"
)

// Exit codes.
const (
	exitDone     = 0
	exitFindings = 1
	exitFailed   = 3
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"INI file with the daemon's settings"`
	Verbose  bool   `arg:"--verbose" help:"log at debug level"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "kumquatshelfd accepts callers and runs their requests at upstreams.\n" +
		"Exit codes: 0 stopped as planned, 1 findings in the settings, 2 usage, 3 could not start."
}

func main() {
	var a arguments

	arg.MustParse(&a)
	os.Exit(run(a))
}

func run(a arguments) int {
	level := slog.LevelInfo
	if a.Verbose {
		level = slog.LevelDebug
	}

	handler, flush := stdout.New(os.Stdout, level)
	defer flush()

	log := slog.New(handler)

	parsed, findings, err := read(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}

	if len(findings) > 0 {
		for _, finding := range findings {
			fmt.Fprintln(os.Stderr, finding)
		}

		return exitFindings
	}

	log = log.With("daemon", parsed.Name, "availability_zone", parsed.AvailabilityZone)

	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()

	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	metrics := expvar.NewMap("Kumquatshelf")
	metrics.Set("LogLinesDropped", handler.Dropped())

	daemon, cleanUp, err := server.New(parsed, server.Options{}, log, metrics)
	if err != nil {
		log.Error("start failed", "error", err)

		return exitFailed
	}

	defer cleanUp()

	log.Info("started", "caller_address", parsed.CallerAddress, "operator_address", parsed.OperatorAddress)

	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-daemon.Restart():
			running = false
		case <-reload:
			reloadSettings(a.Settings, daemon, log)
		}
	}

	daemon.Stop(context.Background())

	return exitDone
}

// read reads the settings file.
func read(file string) (settings.Settings, inifile.Findings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, nil, fmt.Errorf("read settings: %w", err)
	}

	parsed, findings := settings.Parse(file, content)

	return parsed, findings, nil
}

// reloadSettings hands changed settings to the daemon. With findings the daemon
// goes on with those that it has.
func reloadSettings(file string, daemon *server.Daemon, log *slog.Logger) {
	next, findings, err := read(file)
	if err != nil || len(findings) > 0 {
		log.Error("settings not read again", "file", file, "error", err, "findings", findings.String())

		return
	}

	daemon.Reload(next)
}

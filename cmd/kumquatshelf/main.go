// Command kumquatshelf is the command-line client for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of all commands, as the help text lists them.
const (
	exitOK             = 0
	exitRejected       = 1
	exitUsage          = 2
	exitUnreachable    = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5
)

type arguments struct {
	connectionOptions
	Validate *validateCommand `arg:"subcommand:validate" help:"check team files and settings without changing anything"`
	Publish  *publishCommand  `arg:"subcommand:publish" help:"publish team files, or remove teams"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show daemons, services, client accounts and the store"`
	Key      *keyCommand      `arg:"subcommand:key" help:"give and withdraw keys"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"stop new requests to an upstream"`
	Undrain  *undrainCommand  `arg:"subcommand:undrain" help:"end a drain"`
	Audit    *auditCommand    `arg:"subcommand:audit" help:"show who changed what"`
}

// Description returns the introduction of the help text.
func (arguments) Description() string {
	return "kumquatshelf publishes configurations, gives and withdraws keys, and shows the state of the fleet."
}

// Epilogue returns the end of the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 findings or rejected, 2 usage, 3 unreachable, 4 conflict, 5 outcome unknown."
}

// command is one subcommand. Its run method returns the exit code.
type command interface {
	run(ctx context.Context, p *program) int
}

// program holds the shared options and the standard streams of one run of the client.
type program struct {
	connectionOptions
	stdin          io.Reader
	stdout, stderr io.Writer
	// terminal reports whether stderr is a terminal; progress is shown only there.
	terminal bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	info, err := os.Stderr.Stat()
	p := &program{
		stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr,
		terminal: err == nil && info.Mode()&os.ModeCharDevice != 0,
	}
	code := p.main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// main parses the arguments, runs the selected command and returns the exit code.
func (p *program) main(ctx context.Context, args []string) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "kumquatshelf", Out: p.stderr}, &parsed)
	if err != nil {
		panic("kumquatshelf: invalid definition of the command-line arguments: " + err.Error())
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(p.stdout, parser.SubcommandNames()...)

		return exitOK
	case err != nil:
		return p.usageError(parser, err.Error())
	}
	p.connectionOptions = parsed.connectionOptions
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return p.usageError(parser, "a command is required")
	}
	if problem := p.validate(); problem != "" {
		return p.usageError(parser, problem)
	}

	return selected.run(ctx, p)
}

// usageError prints the usage of the selected command and the problem to stderr, and
// returns the exit code.
func (p *program) usageError(parser *arg.Parser, problem string) int {
	_ = parser.WriteUsageForSubcommand(p.stderr, parser.SubcommandNames()...)
	p.errorf("%s", problem)

	return exitUsage
}

// printf prints a line to stdout.
func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stdout, format+"\n", args...)
}

// errorf prints a line to stderr, after the name of the client.
func (p *program) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stderr, "kumquatshelf: "+format+"\n", args...)
}

// showProgress overwrites the progress line if stderr is a terminal. Total is 0 if it is
// not known.
func (p *program) showProgress(step string, done, total int) {
	if !p.terminal {
		return
	}
	if total > 0 {
		step = fmt.Sprintf("%s: %d of %d", step, done, total)
	} else if done > 0 {
		step = fmt.Sprintf("%s: %d", step, done)
	}
	_, _ = fmt.Fprintf(p.stderr, "\r\x1b[K%s", step)
}

// clearProgress clears the progress line.
func (p *program) clearProgress() {
	if p.terminal {
		_, _ = fmt.Fprint(p.stderr, "\r\x1b[K")
	}
}

// Command kumquatshelf is the operators' client.
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

// Exit codes of all commands.
const (
	exitOK          = 0
	exitRejected    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitConflict    = 4
	exitUnknown     = 5
)

type arguments struct {
	connection
	Validate *validateCommand `arg:"subcommand:validate" help:"check team files and settings without changing anything"`
	Publish  *publishCommand  `arg:"subcommand:publish" help:"publish team files, or remove teams"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show daemons, services, client accounts and the store"`
	Key      *keyCommand      `arg:"subcommand:key" help:"give and withdraw keys"`
	Drain    *drainCommand    `arg:"subcommand:drain" help:"stop new requests to an upstream"`
	Undrain  *undrainCommand  `arg:"subcommand:undrain" help:"end a drain"`
	Audit    *auditCommand    `arg:"subcommand:audit" help:"show who changed what"`
}

// Description is part of the help.
func (arguments) Description() string {
	return "kumquatshelf publishes configurations, gives and withdraws keys, and shows the state of the fleet."
}

// Epilogue is part of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 findings or rejected, 2 usage, 3 unreachable, 4 conflict, 5 outcome unknown."
}

// command is one subcommand. It returns the exit code.
type command interface {
	run(ctx context.Context, p *program) int
}

// program is what a command works with.
type program struct {
	connection
	stdin          io.Reader
	stdout, stderr io.Writer
	// terminal says that stderr is a terminal, which shows progress.
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

func (p *program) main(ctx context.Context, args []string) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "kumquatshelf", Out: p.stderr}, &parsed)
	if err != nil {
		panic("declaring the command line: " + err.Error())
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(p.stdout, parser.SubcommandNames()...)

		return exitOK
	case err != nil:
		return p.usage(parser, err.Error())
	}
	p.connection = parsed.connection
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return p.usage(parser, "a command is required")
	}
	if problem := p.check(); problem != "" {
		return p.usage(parser, problem)
	}

	return selected.run(ctx, p)
}

func (p *program) usage(parser *arg.Parser, problem string) int {
	_ = parser.WriteUsageForSubcommand(p.stderr, parser.SubcommandNames()...)
	p.errorf("%s", problem)

	return exitUsage
}

func (p *program) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stdout, format+"\n", args...)
}

func (p *program) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stderr, "kumquatshelf: "+format+"\n", args...)
}

// progress replaces the last line on a terminal. Total is zero if unknown.
func (p *program) progress(step string, done, total int) {
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

// endProgress clears the progress line.
func (p *program) endProgress() {
	if p.terminal {
		_, _ = fmt.Fprint(p.stderr, "\r\x1b[K")
	}
}

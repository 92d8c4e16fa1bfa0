package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a started program whose standard output and error go to a log file.
type process struct {
	name      string
	command   *exec.Cmd
	logFile   *os.File
	exited    chan struct{}
	exitError error
}

// startProcess starts a program whose log file has the given name.
func (c *Cluster) startProcess(name, program string, arguments ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(c.plan.WorkDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}

	command := exec.Command(filepath.Join(c.plan.ProgramDir, program), arguments...) //nolint:gosec,noctx // the project's own program; ended by process.stop
	command.Stdout, command.Stderr = logFile, logFile
	// Each process gets its own process group. If a group with stopped processes loses its
	// parent, the system ends them, which would end paused daemons.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}

	if err := command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), logFile.Close())
	}

	p := &process{name: name, command: command, logFile: logFile, exited: make(chan struct{})}

	go func() {
		p.exitError = errors.Join(command.Wait(), logFile.Close())
		close(p.exited)
	}()

	return p, nil
}

// signal sends a signal. It returns an error with the exit status if the process has ended.
func (p *process) signal(signal syscall.Signal) error {
	select {
	case <-p.exited:
		return fmt.Errorf("signal %s, which has ended: %s", p.name, p.command.ProcessState)
	default:
	}

	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}

	return nil
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)

	<-p.exited

	return err
}

// stop sends SIGTERM, waits for the process to end, and kills it after the timeout. It
// returns the process's exit error, or nil if the process had ended before.
func (p *process) stop(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	default:
	}

	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}

	select {
	case <-p.exited:
		return p.exitError
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%s did not stop within %s", p.name, timeout), p.kill())
	}
}

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

// process is a started program whose output goes to a log file.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	err     error
}

func (c *Cluster) run(name, program string, arguments ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(c.plan.WorkDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of %s: %w", name, err)
	}

	command := exec.Command(filepath.Join(c.plan.ProgramDir, program), arguments...) //nolint:gosec,noctx // the project's own program; ended by process.stop
	command.Stdout, command.Stderr = log, log
	// A group of its own, since the system ends stopped processes of a group
	// that loses its parent.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}

	if err := command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}

	p := &process{name: name, command: command, log: log, ended: make(chan struct{})}

	go func() {
		p.err = errors.Join(command.Wait(), log.Close())
		close(p.ended)
	}()

	return p, nil
}

// signal reports how the process ended if it has.
func (p *process) signal(signal syscall.Signal) error {
	select {
	case <-p.ended:
		return fmt.Errorf("signal %s, which has ended: %s", p.name, p.command.ProcessState)
	default:
	}

	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}

	return nil
}

func (p *process) kill() error {
	err := p.signal(syscall.SIGKILL)

	<-p.ended

	return err
}

// stop asks the process to end and kills it after the timeout.
func (p *process) stop(timeout time.Duration) error {
	select {
	case <-p.ended:
		return nil
	default:
	}

	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}

	select {
	case <-p.ended:
		return p.err
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%s did not stop within %s", p.name, timeout), p.kill())
	}
}

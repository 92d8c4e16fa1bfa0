package cluster

import "syscall"

// StartDaemon starts a daemon that is not running.
func (c *Cluster) StartDaemon(d *Daemon) error {
	if err := c.writeSettings(d); err != nil {
		return err
	}

	var err error

	d.process, err = c.run(d.Name, "kumquatshelfd", "--settings", d.settings)

	return err
}

// StopDaemon stops a daemon as planned and waits until it has ended.
func (c *Cluster) StopDaemon(d *Daemon) error {
	return d.process.stop(stopTimeout)
}

// KillDaemon ends a daemon at once.
func (c *Cluster) KillDaemon(d *Daemon) error {
	return d.process.kill()
}

// PauseDaemon freezes a daemon until ResumeDaemon.
func (c *Cluster) PauseDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGSTOP)
}

// ResumeDaemon lets a paused daemon run on.
func (c *Cluster) ResumeDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGCONT)
}

// ReloadDaemon tells a daemon that its settings file has changed.
func (c *Cluster) ReloadDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGHUP)
}

// PauseUpstreams freezes the upstreams beside a daemon until ResumeUpstreams.
func (c *Cluster) PauseUpstreams(d *Daemon) error {
	return d.upstreams.signal(syscall.SIGSTOP)
}

// ResumeUpstreams lets paused upstreams run on.
func (c *Cluster) ResumeUpstreams(d *Daemon) error {
	return d.upstreams.signal(syscall.SIGCONT)
}

// PausePlatform freezes the platform until ResumePlatform.
func (c *Cluster) PausePlatform() error {
	return c.platform.signal(syscall.SIGSTOP)
}

// ResumePlatform lets the paused platform run on.
func (c *Cluster) ResumePlatform() error {
	return c.platform.signal(syscall.SIGCONT)
}

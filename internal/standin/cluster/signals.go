package cluster

import "syscall"

// StartDaemon writes the settings file of a daemon that is not running and starts it. It
// does not wait until the daemon listens.
func (c *Cluster) StartDaemon(d *Daemon) error {
	if err := c.writeSettings(d); err != nil {
		return err
	}

	var err error

	d.process, err = c.startProcess(d.Name, "kumquatshelfd", "--settings", d.settingsPath)

	return err
}

// StopDaemon stops a daemon gracefully with SIGTERM, waits until it has ended, and returns
// an error if it fails or takes longer than stopTimeout.
func (c *Cluster) StopDaemon(d *Daemon) error {
	return d.process.stop(stopTimeout)
}

// KillDaemon ends a daemon with SIGKILL.
func (c *Cluster) KillDaemon(d *Daemon) error {
	return d.process.kill()
}

// PauseDaemon suspends a daemon with SIGSTOP until ResumeDaemon.
func (c *Cluster) PauseDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGSTOP)
}

// ResumeDaemon continues a paused daemon.
func (c *Cluster) ResumeDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGCONT)
}

// ReloadDaemon makes a daemon reload its settings file with SIGHUP.
func (c *Cluster) ReloadDaemon(d *Daemon) error {
	return d.process.signal(syscall.SIGHUP)
}

// PauseUpstreams suspends the upstreams beside a daemon until ResumeUpstreams.
func (c *Cluster) PauseUpstreams(d *Daemon) error {
	return d.upstreams.signal(syscall.SIGSTOP)
}

// ResumeUpstreams continues paused upstreams.
func (c *Cluster) ResumeUpstreams(d *Daemon) error {
	return d.upstreams.signal(syscall.SIGCONT)
}

// PausePlatform suspends the platform until ResumePlatform.
func (c *Cluster) PausePlatform() error {
	return c.platform.signal(syscall.SIGSTOP)
}

// ResumePlatform continues the paused platform.
func (c *Cluster) ResumePlatform() error {
	return c.platform.signal(syscall.SIGCONT)
}

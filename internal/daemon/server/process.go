package server

import (
	"expvar"
	"syscall"
	"time"
)

// processVariables returns metrics of this process: ProcessorSeconds is the user and
// system CPU time since its start, in seconds, or 0 if it cannot be read.
func processVariables() *expvar.Map {
	variables := new(expvar.Map).Init()
	variables.Set("ProcessorSeconds", expvar.Func(func() any {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return 0.0
		}

		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	}))

	return variables
}

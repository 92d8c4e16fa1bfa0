package server

import (
	"expvar"
	"syscall"
	"time"
)

// processVariables returns what the operating system accounts to this process.
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

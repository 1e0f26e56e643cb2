package dcprocess

import (
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, eris.Wrap(err, "read the processor time of the process")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

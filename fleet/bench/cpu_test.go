package bench

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime measures what f takes of a processor. It counts the thread's own time,
// so that a busy machine, or the collector on another thread, adds nothing.
func cpuTime(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := threadTime()
	f()
	return threadTime() - begun
}

func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

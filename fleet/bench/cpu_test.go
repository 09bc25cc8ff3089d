package bench

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that f takes. It counts the time of the
// thread only, so that other load on the machine and garbage collection on other
// threads add nothing.
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

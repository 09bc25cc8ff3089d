// Package usage measures the processor time of code, independently of what else the
// machine does.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// Of returns the processor time that f takes. It counts the calling thread only, so
// that other processes, and garbage collection on other threads, add nothing.
func Of(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := thread()
	f()
	return thread() - begun
}

func thread() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		// Cannot fail: the call has no invalid argument.
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

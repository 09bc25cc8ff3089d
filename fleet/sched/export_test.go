package sched

// Confirmed reports whether the lead is confirmed.
func (sc *Scheduler) Confirmed() bool { return sc.isConfirmed() }

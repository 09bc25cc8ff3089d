// Package clock measures time across the successive leads of a site. Their times of day differ
// and may be set, and a process's steady clock ends with it. A site's clock runs on the steady
// clock of the lead and continues from the newest reading in the store, so that it never runs
// faster than real time. It loses the time between a lead's newest record and its successor's
// claim.
package clock

import "time"

// Reading is a reading of a site's clock in milliseconds. It is 0 in records of earlier versions,
// which have none, and above 0 elsewhere.
type Reading int64

// Clock is a site's clock as one lead continues it. The zero Clock is that of a lead that has not
// read the store yet; it shows no reading.
type Clock struct {
	base  Reading
	since time.Time // when the clock showed base
}

// Continue returns the clock of a lead that starts now and found newest to be the newest reading
// in the store.
func Continue(newest Reading, now time.Time) Clock { return Clock{max(newest, 1), now} }

// Read returns the reading at a time.
func (c Clock) Read(at time.Time) Reading {
	if c.since.IsZero() {
		return 0
	}
	return c.base + Reading(at.Sub(c.since).Milliseconds())
}

// Time returns when the clock showed a reading; for one of a former lead, as if no time had been
// lost since. Without a reading it is when this lead started.
func (c Clock) Time(r Reading) time.Time {
	if r == 0 {
		return c.since
	}
	return c.since.Add(time.Duration(r-c.base) * time.Millisecond)
}

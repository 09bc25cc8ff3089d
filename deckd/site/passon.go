package site

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Spans of passing a job on.
const (
	noLeadWait = 700 * time.Millisecond // a caller who comes back finds the next lead as soon as one who waits on
	doubtWait  = leadWait               // the next lead tells what became of the job
)

// view is what a daemon knows about the lead of its site.
type view struct {
	term  fleet.Term
	addr  string // of the lead
	here  bool   // this daemon leads
	fresh bool   // the lead was heard a moment ago
	lone  bool   // neither most other daemons are heard, nor a lead that hears them
}

// passing decides how a job is passed on to the lead, for one caller. It answers
// a lead that is lost and a failure domain that is cut off: nothing is sent to a
// lead that is not heard, as its answer may never come, and a caller who cannot
// be served here is told so at once.
type passing struct {
	begun time.Time
	until time.Time  // the caller waits no longer
	doubt fleet.Term // a lead of this term may have the job; 0 for none
}

// move is what is done next with a job.
type move int

const (
	holdOn move = iota
	passOn
	turnDown // the job was not taken by anybody
	giveUp   // whether it was taken is not known
)

func (p *passing) next(v view, now time.Time) move {
	if p.doubt == 0 {
		switch {
		case v.lone:
			return turnDown
		case v.here || v.fresh:
			return p.within(now, noLeadWait, passOn, turnDown)
		}
		return p.within(now, noLeadWait, holdOn, turnDown)
	}
	switch {
	case v.lone:
		return giveUp
	case v.here || v.fresh:
		return p.within(now, doubtWait, passOn, giveUp)
	}
	return p.within(now, doubtWait, holdOn, giveUp)
}

// within returns one move until a span has passed since the caller came, and
// another one from then on. The first try is always made.
func (p *passing) within(now time.Time, span time.Duration, before, after move) move {
	if now.Before(p.begun.Add(span)) && now.Before(p.until) || now.Equal(p.begun) {
		return before
	}
	return after
}

// took notes what came of passing the job on to a lead: an answer, or none, and
// then whether the lead may have the job. It reports whether the answer is final.
//
// A refusal is true for the lead that gives it, and for every earlier one, whose
// appends are fenced; a lead takes no job that was sent to it under another term.
func (p *passing) took(v view, r *wire.HandReply, sent bool) bool {
	switch {
	case r == nil && sent, r.GetVerdict() == wire.Verdict_UNKNOWN:
		p.doubt = max(p.doubt, v.term)
		return false
	case r == nil, r.Verdict == wire.Verdict_ASTRAY:
		return false
	case r.Verdict == wire.Verdict_REFUSED:
		return v.term > p.doubt
	}
	return true
}

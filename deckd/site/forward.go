package site

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

// Timeouts of forwarding a job to the lead, counted from the caller's request.
const (
	noLeadTimeout = 700 * time.Millisecond // after that a caller who retries reaches the next lead as soon as one who keeps waiting
	doubtTimeout  = leadTimeout            // the next lead can tell whether the job was accepted
)

// leadView is a snapshot of what a daemon knows about the lead of its site.
type leadView struct {
	listReadAt time.Time // as of when this daemon, if it leads, knows the workers
	term       fleet.Term
	addr       string // of the lead
	leading    bool   // this daemon is the lead
	responsive bool   // the lead was heard recently enough to expect an answer
	isolated   bool   // this daemon hears neither a majority of its peers nor a lead that does
}

// forwarding decides how one caller's job is forwarded to the lead, also while
// the lead is lost or this failure domain is cut off. Nothing is sent to a lead
// that is not heard, since its answer may never arrive, and a caller who cannot
// be served here is refused at once.
type forwarding struct {
	started   time.Time
	until     time.Time  // when the caller stops waiting
	doubtTerm fleet.Term // newest term whose lead may have accepted the job; 0 for none
}

// decision is the next step for a job.
type decision int

const (
	waitForLead decision = iota
	sendToLead
	refuse        // no lead has accepted the job
	answerUnknown // a lead may have accepted the job
)

// decide returns what to do now with the job, given the current view of the lead.
func (fw *forwarding) decide(v leadView, now time.Time) decision {
	if fw.doubtTerm == 0 {
		switch {
		case v.isolated:
			return refuse
		case v.leading || v.responsive:
			return fw.within(now, noLeadTimeout, sendToLead, refuse)
		}
		return fw.within(now, noLeadTimeout, waitForLead, refuse)
	}
	switch {
	case v.isolated:
		return answerUnknown
	case v.leading || v.responsive:
		return fw.within(now, doubtTimeout, sendToLead, answerUnknown)
	}
	return fw.within(now, doubtTimeout, waitForLead, answerUnknown)
}

// within returns before until limit has passed since the request arrived or the
// caller has stopped waiting, and after from then on. The first try is always
// made.
func (fw *forwarding) within(now time.Time, limit time.Duration, before, after decision) decision {
	if now.Before(fw.started.Add(limit)) && now.Before(fw.until) || now.Equal(fw.started) {
		return before
	}
	return after
}

// record records the outcome of sending the job to a lead. R is the reply; if it is
// nil, sent says whether the lead may have received the job. It returns whether the
// reply is final.
//
// A refusal also holds for every lead before the one that sent it, since their
// appends are fenced off, and a lead does not accept a job that was sent to it under
// another term. So a refusal is final only from a term newer than any that may have
// accepted the job.
func (fw *forwarding) record(v leadView, r *wire.HandReply, sent bool) bool {
	switch {
	case r == nil && sent, r.GetVerdict() == wire.Verdict_UNKNOWN:
		fw.doubtTerm = max(fw.doubtTerm, v.term)
		return false
	case r == nil, r.Verdict == wire.Verdict_ASTRAY:
		return false
	case r.Verdict == wire.Verdict_REFUSED:
		return v.term > fw.doubtTerm
	}
	return true
}

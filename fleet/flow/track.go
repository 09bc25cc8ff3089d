package flow

import (
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/clock"
	"dragonflydeck.example/fleet/wire"
)

// Track returns the job's progress in its stored form, made at the given reading of the site's
// clock. Of a job that has ended, only how and when it ended is stored, and with keepRuns also
// its runs that may not have ended yet.
func (j *Job) Track(keepRuns bool, made clock.Reading) *wire.Track {
	t := &wire.Track{Id: string(j.ID), Cancelled: j.Cancelled, Failed: j.Failed, Stamp: int64(made)}
	if j.HasEnded() {
		t.Ended = j.Ended.UnixMilli()
	}
	if j.Moved {
		t.Space = j.Spec.Space
	}
	if j.HasEnded() && !keepRuns {
		return t
	}
	if j.Repeats() {
		t.Next = int32(j.next)
	}
	for _, r := range j.Rounds {
		if j.Repeats() {
			t.Open = append(t.Open, int32(r.No))
		}
		for _, s := range r.Steps {
			t.Pieces = s.pieces(t.Pieces, j.HasEnded())
		}
	}
	return t
}

// pieces adds the stored form of the step's tasks; with onlyRuns, only of those that are on
// a worker.
func (s *Step) pieces(out []*wire.Piece, onlyRuns bool) []*wire.Piece {
	for i, k := range s.Tasks {
		if onlyRuns && k.Worker == "" {
			continue
		}
		p := &wire.Piece{
			Round: int32(s.Round), Step: int32(s.Index), Index: int32(i),
			Done: k.Done, Fails: int32(k.Fails), Saved: k.Saved, Run: int64(k.Run), Worker: string(k.Worker),
			Inc: int64(k.Inc), Blame: int32(k.Blame), Crashes: int32(k.Crashes),
		}
		if s.Spec.Gang && i == 0 {
			p.Fails, p.Saved, p.Failed = int32(s.Fails), s.Saved, int64(s.failedRun)
		}
		if p.Done || p.Fails > 0 || p.Saved != "" || p.Run > 0 {
			out = append(out, p)
		}
	}
	return out
}

// Resume restores a new job's progress from its stored form, which was made at the given time.
// Pieces that match no task of the job are ignored.
func (j *Job) Resume(t *wire.Track, made time.Time) {
	j.resumeRounds(t)
	for _, p := range t.Pieces {
		task := fleet.Task{Job: j.ID, Round: int(p.Round), Step: int(p.Step), Index: int(p.Index)}
		s := j.open(task)
		if s == nil {
			continue
		}
		s.resume(p)
		if p.Done {
			j.finish(s, int(p.Index), time.Time{})
		}
		j.begun = j.begun || p.Run > 0
	}
	j.Cancelled, j.Failed = t.Cancelled, t.Failed
	if t.Space != "" {
		j.Spec.Space, j.Moved = t.Space, true
	}
	if t.Ended > 0 {
		j.Ended = made
	}
}

// resumeRounds restores which rounds of a job that repeats count and which have ended.
func (j *Job) resumeRounds(t *wire.Track) {
	if !j.Repeats() {
		return
	}
	if t.Next == 0 { // of an older version
		for _, p := range t.Pieces {
			for j.next <= int(p.Round) && j.next < j.count() {
				j.openNext()
			}
		}
		return
	}
	j.next = min(int(t.Next), j.count())
	for _, no := range t.Open {
		if no := int(no); no >= 0 && no < j.next && (len(j.Rounds) == 0 || no > j.Rounds[len(j.Rounds)-1].No) {
			j.Rounds = append(j.Rounds, j.round(no))
		}
	}
	j.unfinished -= (j.next - len(j.Rounds)) * j.RoundTasks()
	j.begun = j.next > len(j.Rounds)
}

func (s *Step) resume(p *wire.Piece) {
	k := &s.Tasks[p.Index]
	k.Run, k.Worker, k.Inc, k.Blame, k.Crashes = fleet.Run(p.Run), fleet.HostID(p.Worker), fleet.Incarnation(p.Inc), int(p.Blame), int(p.Crashes)
	s.Run = max(s.Run, k.Run)
	if s.Spec.Gang && p.Index == 0 {
		s.Fails, s.Saved, s.failedRun = int(p.Fails), p.Saved, fleet.Run(p.Failed)
		return
	}
	k.Fails, k.Saved = int(p.Fails), p.Saved
}

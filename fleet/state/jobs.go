package state

import (
	"slices"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

func (s *State) submit(at fleet.Offset, when int64, w *wire.Submit) error {
	spec := w.GetSpec()
	id := fleet.JobID(spec.GetId())
	if id == "" || spec.Tasks < 1 {
		return fail("submit", Broken, "the job has no id or no tasks")
	}
	if _, ok := s.Jobs[id]; ok {
		return fail("submit", Conflict, "job %s exists already", id)
	}
	if _, ok := s.Spaces[fleet.SpaceID(spec.Space)]; !ok {
		return fail("submit", Missing, "no workspace %s", spec.Space)
	}
	s.Jobs[id] = &wire.Job{
		Spec: spec, Phase: wire.Phase_QUEUED, Home: w.Home,
		Since: when, Begun: when, Rev: int64(at),
	}
	s.markChanged(s.Jobs[id])
	return nil
}

func (s *State) cancel(at fleet.Offset, when int64, c *wire.Cancel) error {
	j, err := s.job("cancel", c.GetJob())
	if err != nil {
		return err
	}
	if Ended(j.Phase) {
		return fail("cancel", Stale, "job %s has ended: %s", c.Job, j.Phase)
	}
	j.Rev = int64(at)
	j.Why = c.Why
	if j.Phase == wire.Phase_PLACED {
		j.Cancel = true
		s.markChanged(j)
		return nil
	}
	s.setPhase(j, wire.Phase_CANCELLED, when)
	return nil
}

func (s *State) place(at fleet.Offset, when int64, p *wire.Place) error {
	j, err := s.job("place", p.GetJob())
	if err != nil {
		return err
	}
	if j.Phase != wire.Phase_QUEUED || j.Attempt+1 != p.Attempt {
		return fail("place", Stale, "job %s is %s in attempt %d, not queued for attempt %d", p.Job, j.Phase, j.Attempt, p.Attempt)
	}
	if j.Home != p.Domain {
		return fail("place", Stale, "job %s belongs to %s", p.Job, j.Home)
	}
	d := s.Domains[fleet.DomainID(p.Domain)]
	if d.GetTerm() != p.Term {
		return fail("place", Stale, "%s is in term %d, not %d", p.Domain, d.GetTerm(), p.Term)
	}
	if d.GetOut() {
		return fail("place", Busy, "%s is out of service", p.Domain)
	}
	j.Attempt, j.Term, j.Parts, j.Owned, j.Why = p.Attempt, p.Term, p.Parts, p.Owned, p.Why
	j.Rev = int64(at)
	s.setPhase(j, wire.Phase_PLACED, when)
	return nil
}

func (s *State) settle(at fleet.Offset, when int64, w *wire.Settle) error {
	j, err := s.job("settle", w.GetJob())
	if err != nil {
		return err
	}
	if j.Phase != wire.Phase_PLACED || j.Attempt != w.Attempt {
		return fail("settle", Stale, "job %s is %s in attempt %d, not placed in attempt %d", w.Job, j.Phase, j.Attempt, w.Attempt)
	}
	if err := s.checkTerm("settle", j.Home, w.Term); err != nil {
		return err
	}
	j.Rev = int64(at)
	j.Why, j.Parts, j.Owned = w.Why, nil, false
	j.Spent = max(j.Spent, w.Spent)
	j.Faulty = addMissing(j.Faulty, w.Faulty)
	phase := w.Phase
	if j.Cancel && phase == wire.Phase_QUEUED {
		phase = wire.Phase_CANCELLED
	}
	s.setPhase(j, phase, when)
	return nil
}

func (s *State) move(at fleet.Offset, when int64, m *wire.Move) error {
	j, err := s.job("move", m.GetJob())
	if err != nil {
		return err
	}
	if j.Phase != wire.Phase_QUEUED || j.Attempt != m.Attempt || j.Home != m.From {
		return fail("move", Stale, "job %s is %s at %s in attempt %d, not as the record says", m.Job, j.Phase, j.Home, j.Attempt)
	}
	if err := s.checkTerm("move", m.From, m.Term); err != nil {
		return err
	}
	j.Home, j.Since, j.Why, j.Rev = m.To, when, m.Why, int64(at)
	s.markChanged(j)
	return nil
}

// checkTerm checks that a record comes from the current lead of the failure
// domain. Records about a domain that operators declared lost are accepted from
// any daemon.
func (s *State) checkTerm(op, domain string, term int64) error {
	d := s.Domains[fleet.DomainID(domain)]
	if d.GetTerm() == term || Lost(d) {
		return nil
	}
	return fail(op, Stale, "%s is in term %d, not %d", domain, d.GetTerm(), term)
}

// Lost reports whether operators declared the failure domain lost, which means
// that nothing runs there any more.
func Lost(d *wire.Domain) bool { return d.GetOut() && d.GetDrain() == wire.Drain_LOST }

func (s *State) job(op, id string) (*wire.Job, error) {
	j, ok := s.Jobs[fleet.JobID(id)]
	if !ok {
		return nil, fail(op, Missing, "no job %s", id)
	}
	return j, nil
}

func (s *State) setPhase(j *wire.Job, p wire.Phase, when int64) {
	j.Phase, j.Since = p, when
	s.markChanged(j)
	if Ended(p) {
		s.addEnded(fleet.JobID(j.Spec.Id))
	}
}

func addMissing(have, more []string) []string {
	for _, m := range more {
		if !slices.Contains(have, m) {
			have = append(have, m)
		}
	}
	return have
}

package place

import "dragonflydeck.example/fleet"

// fitFailures records the gangs that did not fit in this plan, by the resources
// of a task, to skip larger ones: room only shrinks during a plan. It does not
// apply to gangs with a reservation.
type fitFailures map[fleet.Res]fitFailure

// fitFailure describes the smallest gang that did not fit.
type fitFailure struct {
	tasks  int
	faulty int // workers excluded because it failed on them
}

// covers reports whether a job is no easier to fit than one that did not fit. Of
// the excluded workers it compares only the number.
func (m fitFailures) covers(j *Job) bool {
	at, ok := m[j.Each]
	return ok && j.Tasks >= at.tasks && len(j.Faulty) >= at.faulty
}

func (m fitFailures) record(j *Job) {
	if at, ok := m[j.Each]; !ok || j.Tasks < at.tasks {
		m[j.Each] = fitFailure{j.Tasks, len(j.Faulty)}
	}
}

package place

import "dragonflydeck.example/fleet"

// misses remembers which kinds of gang found no room in this plan. Room only
// shrinks while a plan is made. It says nothing of a gang that room is kept for.
type misses map[fleet.Res]miss

type miss struct {
	tasks  int
	faulty int
}

func (m misses) hopeless(j *Job) bool {
	at, ok := m[j.Each]
	return ok && j.Tasks >= at.tasks && len(j.Faulty) >= at.faulty
}

func (m misses) miss(j *Job) {
	if at, ok := m[j.Each]; !ok || j.Tasks < at.tasks {
		m[j.Each] = miss{j.Tasks, len(j.Faulty)}
	}
}

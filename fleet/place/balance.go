package place

import "dragonflydeck.example/fleet"

// balance keeps cores and memory with the accelerators that need them: tasks
// without accelerators would else strand those of their workers.
type balance struct {
	per   fleet.Res // that a task holds for each of its accelerators, on average
	waits bool      // a job with accelerators waits
}

// weighBalance works the balance out from the jobs that run and wait.
func (p *Planner) weighBalance() {
	sum := fleet.Res{}
	p.balance.waits = false
	for _, g := range p.gangs {
		if g.Each.Accels > 0 {
			sum = sum.Add(g.Need())
		}
	}
	for _, w := range p.waits {
		if w.Each.Accels > 0 {
			sum = sum.Add(w.Need())
			p.balance.waits = true
		}
	}
	p.balance.per = fleet.Res{}
	if n := int64(sum.Accels); n > 0 {
		p.balance.per = fleet.Res{Cores: sum.Cores / fleet.Millicores(n), Mem: sum.Mem / fleet.Mebibytes(n)}
	}
}

// spare is the room that a job may take of the room on a worker. One without
// accelerators leaves what the free accelerators need; strict is also for when
// nobody waits for them.
func (p *Planner) spare(n *node, room fleet.Res, j *Job, strict bool) fleet.Res {
	if j.Each.Accels > 0 || !strict && !p.balance.waits {
		return room
	}
	return room.Sub(p.balance.per.Times(int(max(n.free().Accels, 0))))
}

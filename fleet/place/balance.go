package place

import "dragonflydeck.example/fleet"

// balance is the amount of cores and memory to set aside for each accelerator.
// Without it, tasks that use no accelerator would take the cores and memory that
// the accelerators of their workers need, and strand them.
type balance struct {
	perAccel      fleet.Res // average per accelerator over the jobs that use any
	accelJobWaits bool      // a job that uses accelerators is waiting
}

// updateBalance computes the balance from the running and waiting jobs.
func (p *Planner) updateBalance() {
	sum := fleet.Res{}
	p.balance.accelJobWaits = false
	for _, g := range p.gangs {
		if g.Each.Accels > 0 {
			sum = sum.Add(g.Need())
		}
	}
	for _, w := range p.waiting {
		if w.Each.Accels > 0 {
			sum = sum.Add(w.Need())
			p.balance.accelJobWaits = true
		}
	}
	p.balance.perAccel = fleet.Res{}
	if n := int64(sum.Accels); n > 0 {
		p.balance.perAccel = fleet.Res{Cores: sum.Cores / fleet.Millicores(n), Mem: sum.Mem / fleet.Mebibytes(n)}
	}
}

// roomFor returns the part of the room on a worker that a job may use. A job
// without accelerators leaves what the free accelerators need while a job that
// uses accelerators is waiting, or always if reserveForAccels is set.
func (p *Planner) roomFor(n *node, room fleet.Res, j *Job, reserveForAccels bool) fleet.Res {
	if j.Each.Accels > 0 || !reserveForAccels && !p.balance.accelJobWaits {
		return room
	}
	return room.Sub(p.balance.perAccel.Times(int(max(n.free().Accels, 0))))
}

package engine

import "time"

// Room is the capacity of an engine.
type Room struct {
	Cores  int64 // thousandths of a core
	Mem    int64 // MiB
	Accels int64
}

// covers reports whether a need fits.
func (r Room) covers(n Need) bool {
	return n.Cores <= r.Cores && n.Mem <= r.Mem && n.Accels <= r.Accels
}

// Resize changes the engine's capacity while it runs, up to that of its options. What runs
// goes on.
func (e *Engine) Resize(to Room) {
	e.set(func() { e.room, e.roomStoredAt = to, time.Time{} })
}

// noteRoomStored notes that the store has accepted an entry, if it shows the present
// capacity.
func (e *Engine) noteRoomStored(entry Entry) {
	shown, _ := entry["capacity"].(map[string]int64)
	if e.roomStoredAt.IsZero() && shown["cpu"] == e.room.Cores && shown["memMb"] == e.room.Mem && shown["gpu"] == e.room.Accels {
		e.roomStoredAt = time.Now()
	}
}

// checkRoom checks that a run does not take the engine over its capacity. One that has
// shrunk counts once an entry that shows it has been stored for opts.ShrinkTime. Orders
// that the engine or its link delayed are not counted.
func (e *Engine) checkRoom(r *run, late bool) {
	var used Need
	for _, o := range e.runs {
		used = used.add(o.need)
	}
	known := !e.roomStoredAt.IsZero() && r.begun.Sub(e.roomStoredAt) > e.opts.ShrinkTime
	switch {
	case !e.opts.Room.covers(used):
		e.opts.Auditor.overCapacity(e.opts.ID, r, used, e.opts.Room)
	case !e.room.covers(used) && known && !late && !e.isHeldUp(r):
		e.opts.Auditor.overCapacity(e.opts.ID, r, used, e.room)
	}
}

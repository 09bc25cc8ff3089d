package speed

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
)

const (
	recordedMove = 0.1                // change of mean or spread that calls for a new record
	maxMoment    = -lowest + width/2  // bound of the mean and the spread of a record
	maxCount     = math.MaxInt32 >> 1 // bound of the number of measurements
)

// Record returns the stored form of a worker's profile, nil if it has none. The
// mean is not centred, so that it does not change with other workers.
func (b *Book) Record(host fleet.HostID) *wire.Speed {
	p, ok := b.profiles[host]
	if !ok {
		return nil
	}
	return &wire.Speed{
		Host: string(host), Inc: int64(p.inc), Service: p.service.name,
		Mean: p.mean, Spread: p.spread, Count: p.count,
	}
}

// Restore replaces the profile of a worker by a record of the store. Classes of
// restored workers are reported by the next TakeClassChanges, when all records are
// restored and the scale is known.
func (b *Book) Restore(r *wire.Speed) error {
	if err := check(r); err != nil {
		return err
	}
	host := fleet.HostID(r.Host)
	p := b.start(Worker{Host: host, Inc: fleet.Incarnation(r.Inc), Service: r.Service})
	p.count = r.Count
	p.set(gaussian(float64(r.Mean), float64(r.Spread)))
	p.markRecorded(p.mean, p.spread)
	return nil
}

func check(r *wire.Speed) error {
	mean, spread := float64(r.GetMean()), float64(r.GetSpread())
	switch {
	case r.GetHost() == "" || r.GetService() == "":
		return refuse(BadHost, "host %q, service %q", r.GetHost(), r.GetService())
	case !finite(mean) || math.Abs(mean) > maxMoment:
		return refuse(BadMean, "%v", mean)
	case !finite(spread) || spread <= 0 || spread > maxMoment:
		return refuse(BadSpread, "%v", spread)
	case r.GetCount() < 1 || r.GetCount() > maxCount:
		return refuse(BadCount, "%d", r.GetCount())
	}
	return nil
}

func refuse(kind Kind, format string, args ...any) error {
	return &Error{Op: "restore", Kind: kind, Text: fmt.Sprintf(format, args...)}
}

// move returns by how much the profile has moved since it was recorded.
func (p *profile) move() float32 {
	if !p.recorded {
		return math.MaxFloat32
	}
	return max(distance(p.mean, p.recordedMean), distance(p.spread, p.recordedSpread))
}

func distance(x, y float32) float32 { return max(x-y, y-x) }

func (p *profile) markRecorded(mean, spread float32) {
	p.recordedMean, p.recordedSpread, p.recorded = mean, spread, true
}

// noteMove adds a worker to those whose record is out of date, or removes it.
func (b *Book) noteMove(host fleet.HostID, p *profile) {
	if p.move() > recordedMove {
		b.moved[host] = struct{}{}
		return
	}
	delete(b.moved, host)
}

// Due returns the records of at most limit workers whose mean or spread has moved by
// more than 0.1 since their last record, or that have none; those that moved
// furthest first. Workers of services that are not wanted are left out, so that they
// do not take the place of others. The records are not due again until the caller
// reports the outcome with Stored or NotStored.
func (b *Book) Due(limit int, wanted func(service string) bool) []*wire.Speed {
	var hosts []fleet.HostID
	for host := range b.moved {
		if p := b.profiles[host]; !p.inFlight && wanted(p.service.name) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(x, y fleet.HostID) int {
		return cmp.Or(cmp.Compare(b.profiles[y].move(), b.profiles[x].move()), cmp.Compare(x, y))
	})
	var out []*wire.Speed
	for _, host := range hosts[:min(len(hosts), limit)] {
		b.profiles[host].inFlight = true
		out = append(out, b.Record(host))
	}
	return out
}

// Stored notes that records returned by Due are in the store.
func (b *Book) Stored(records []*wire.Speed) {
	for _, r := range records {
		p := b.landed(r)
		if p == nil {
			continue
		}
		p.markRecorded(r.Mean, r.Spread)
		b.noteMove(fleet.HostID(r.Host), p)
	}
}

// NotStored notes that records returned by Due are not in the store, or may not be.
func (b *Book) NotStored(records []*wire.Speed) {
	for _, r := range records {
		b.landed(r)
	}
}

// landed ends the attempt to store a record, and returns the profile if it is
// still that of the same process.
func (b *Book) landed(r *wire.Speed) *profile {
	w := Worker{Host: fleet.HostID(r.GetHost()), Inc: fleet.Incarnation(r.GetInc()), Service: r.GetService()}
	p := b.known(w)
	if p != nil {
		p.inFlight = false
	}
	return p
}

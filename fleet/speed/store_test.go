package speed_test

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/speed"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

// Guards against estimates that change with the lead: after a restore from encoded
// records, profiles are nearly the same, and nothing is due.
func TestRecordsRestoreProfiles(t *testing.T) {
	s := newSite(90, 1/1.6, 1, 1.6)
	for range 8 {
		s.round("tasks")
	}
	next := speed.New()
	for i := range s.truth {
		data, err := proto.Marshal(s.book.Record(worker(i).Host))
		qt.Assert(t, err, qt.IsNil)
		// The planned 64 bytes include the host's and the service's name.
		qt.Assert(t, len(data) <= 64, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		r := &wire.Speed{}
		qt.Assert(t, proto.Unmarshal(data, r), qt.IsNil)
		qt.Assert(t, next.Restore(r), qt.IsNil)
	}
	for i := range s.truth {
		was, is := s.book.Profile(worker(i)), next.Profile(worker(i))
		qt.Check(t, math.Abs(was.Mean()-is.Mean()) < 0.05, qt.IsTrue, qt.Commentf("%.3f %.3f", was.Mean(), is.Mean()))
		qt.Check(t, math.Abs(was.Spread()-is.Spread()) < 0.05, qt.IsTrue, qt.Commentf("%.3f %.3f", was.Spread(), is.Spread()))
		qt.Check(t, is.Count(), qt.Equals, was.Count())
		// Between the two bounds of a class, it depends on the former one.
		if far := math.Abs(was.Mean()); far < 0.04 || far > 0.2 {
			qt.Check(t, next.Class(worker(i)), qt.Equals, s.book.Class(worker(i)))
		}
	}
	qt.Check(t, next.Differ(service), qt.IsTrue)
	qt.Check(t, next.Due(64, anyService), qt.HasLen, 0)
}

// Guards against records that make no sense and would spoil the estimates, and
// against a panic on them.
func TestSenselessRecordsAreRefused(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	good := func() *wire.Speed {
		return &wire.Speed{Host: "w", Inc: 1, Service: service, Mean: 0.1, Spread: 0.2, Count: 3}
	}
	for _, c := range []struct {
		name   string
		change func(*wire.Speed)
		kind   speed.Kind
	}{
		{"empty", func(r *wire.Speed) { proto.Reset(r) }, speed.BadHost},
		{"no host", func(r *wire.Speed) { r.Host = "" }, speed.BadHost},
		{"no service", func(r *wire.Speed) { r.Service = "" }, speed.BadHost},
		{"mean not a number", func(r *wire.Speed) { r.Mean = nan }, speed.BadMean},
		{"mean beyond the grid", func(r *wire.Speed) { r.Mean = -1.3 }, speed.BadMean},
		{"spread not a number", func(r *wire.Speed) { r.Spread = nan }, speed.BadSpread},
		{"spread infinite", func(r *wire.Speed) { r.Spread = inf }, speed.BadSpread},
		{"spread zero", func(r *wire.Speed) { r.Spread = 0 }, speed.BadSpread},
		{"count negative", func(r *wire.Speed) { r.Count = -1 }, speed.BadCount},
		{"count at its limit", func(r *wire.Speed) { r.Count = math.MaxInt32 }, speed.BadCount},
	} {
		b, r := speed.New(), good()
		c.change(r)
		err := b.Restore(r)
		var own *speed.Error
		qt.Assert(t, errors.As(err, &own), qt.IsTrue, qt.Commentf(c.name))
		qt.Check(t, own.Kind, qt.Equals, c.kind, qt.Commentf(c.name))
		qt.Check(t, own.Op, qt.Equals, "restore")
		qt.Check(t, b.Record("w"), qt.IsNil)
	}
	qt.Check(t, speed.New().Restore(good()), qt.IsNil)
	qt.Check(t, speed.New().Restore(nil), qt.ErrorMatches, `restore: bad host: host "", service ""`)
}

// Guards against a batch without bound, against records that are lost with a failed
// append, and against one that is appended again while the append runs.
func TestDueRecordsAreStoredOnce(t *testing.T) {
	s := newSite(100, 1)
	s.round("tasks")
	first, second := s.book.Due(64, anyService), s.book.Due(64, anyService)
	qt.Assert(t, first, qt.HasLen, 64)
	qt.Assert(t, second, qt.HasLen, 36)
	s.book.Stored(first)
	qt.Check(t, s.book.Due(64, anyService), qt.HasLen, 0)
	s.book.NotStored(second)
	qt.Check(t, hosts(s.book.Due(64, anyService)), qt.DeepEquals, hosts(second))
}

// Guards against a move that is lost because it came while the former record was
// being appended, and against answers for a former process.
func TestMoveDuringAnAppendIsDue(t *testing.T) {
	s := newSite(1, 1)
	s.task(0)
	records := s.book.Due(64, anyService)
	for range 10 {
		s.book.ObserveTask(worker(0), 0.7, whole, &speed.Counted{})
	}
	s.book.Stored(records)
	again := s.book.Due(64, anyService)
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Mean-records[0].Mean > 0.1, qt.IsTrue)

	next := worker(0)
	next.Inc = 2
	s.book.ObserveTask(next, 0, whole, &speed.Counted{})
	s.book.Stored(again)
	qt.Check(t, s.book.Due(64, anyService), qt.HasLen, 1)
	s.book.Forget(next.Host)
	s.book.NotStored(again)
	qt.Check(t, s.book.Due(64, anyService), qt.HasLen, 0)
}

// Guards against a store that is written for every measurement.
func TestSmallMovesAreNotDue(t *testing.T) {
	s := newSite(40, 1)
	records := 0
	for range 100 {
		s.round("tasks")
		due := s.book.Due(64, anyService)
		records += len(due)
		s.book.Stored(due)
	}
	// A first record, and one for each further 0.1 of the spread from 0.4 to 0.05
	// and of the mean, which rarely moves by more than 0.2.
	qt.Check(t, records < 6*40, qt.IsTrue, qt.Commentf("%d records", records))
}

func hosts(records []*wire.Speed) []string {
	var out []string
	for _, r := range records {
		out = append(out, r.Host)
	}
	return out
}

func anyService(string) bool { return true }

// Guards against records of a service that are never due, because those of a larger one
// whose records are not stored come first.
func TestUnwantedServicesLeaveRoomForOthers(t *testing.T) {
	s := newSite(100, 1)
	s.round("tasks")
	other := speed.Worker{Host: "z", Inc: 1, Service: "other"}
	s.book.ObserveTask(other, 0, whole, &speed.Counted{})
	due := s.book.Due(64, func(name string) bool { return name == "other" })
	qt.Check(t, hosts(due), qt.DeepEquals, []string{"z"})
}

// Each batch of a lead asks for what is due, also where no records are of use.
func BenchmarkNoneDueOf700(b *testing.B) {
	book := speed.New()
	for i := range 700 {
		var c speed.Counted
		book.ObserveTask(speed.Worker{Host: fleet.HostID(fmt.Sprint("w", i)), Inc: 1, Service: "s"}, 0.01*float64(i%30), 100, &c)
	}
	for b.Loop() {
		book.Due(64, book.Differ)
	}
}

package state_test

import (
	"fmt"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/state"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// entry draws a record of any kind. It uses only a few names, so that conflicts
// are common.
func entry(t *rapid.T) *wire.Entry {
	n := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
	name := func(label string) string { return fmt.Sprint(label, n(label, 2)) }
	base := int64(n("base", 30))
	e := &wire.Entry{Id: fmt.Sprint("id", n("id", 40)), At: int64(n("at", 1000))}
	switch n("kind", 7) {
	case 0:
		e.Kind = &wire.Entry_Space{Space: &wire.Space{Name: name("s"), Rev: base * int64(n("fresh", 1))}}
	case 1:
		e.Kind = &wire.Entry_Drop{Drop: &wire.Drop{Name: name("s"), Base: base}}
	case 2:
		e.Kind = &wire.Entry_Turn{Turn: &wire.Turn{Name: name("d"), Out: n("out", 1) == 1, Base: base * int64(n("fresh", 1))}}
	case 3:
		e.Kind = &wire.Entry_Submit{Submit: &wire.Submit{Spec: &wire.Spec{Id: name("j"), Space: name("s"), Tasks: 1}, Home: name("d")}}
	case 4:
		e.Kind = &wire.Entry_Claim{Claim: &wire.Claim{Domain: name("d"), Host: name("e"), Prev: base * int64(n("fresh", 1))}}
	case 5:
		term := base * int64(n("fresh", 1))
		e.Kind = &wire.Entry_Place{Place: &wire.Place{Job: name("j"), Attempt: int32(n("attempt", 3)), Term: term, Domain: name("d")}}
	case 6:
		e.Kind = &wire.Entry_Settle{Settle: &wire.Settle{Job: name("j"), Attempt: int32(n("attempt", 3)), Term: base, Phase: wire.Phase(n("phase", 6))}}
	case 7:
		e.Kind = &wire.Entry_Move{Move: &wire.Move{Job: name("j"), Attempt: int32(n("attempt", 3)), From: name("d"), To: name("d"), Term: base}}
	}
	return e
}

func images(s *state.State) string {
	out := ""
	for _, m := range s.Images() {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		out += string(data)
	}
	return out
}

// Guards against daemons whose states differ after the same log, with and
// without repeated records. Revisions never decrease, a record with a known ID
// has no effect, and a placement has one exactly if placeable allows it.
func TestFoldIsDeterministicAndOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := state.New(), state.New()
		log := []*wire.Entry{nil}
		revs := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			log = append(log, entry(t))
			at := fleet.Offset(len(log) - 1)
			before := content(a)
			known, _ := a.Outcome(fleet.EntryID(log[at].Id))
			allowed := placeable(a, log[at].GetPlace())
			err := a.Apply(at, log[at])
			if p := log[at].GetPlace(); p != nil && !known && (err == nil) != allowed {
				t.Fatalf("place %v: allowed %t, outcome %v", p, allowed, err)
			}
			if known && before != content(a) {
				t.Fatalf("a repeated id had an effect")
			}
			_ = a.Apply(at, log[at]) // applied again: skipped
			for id, d := range a.Domains {
				checkRises(t, revs, "domain "+string(id), d.Rev)
				checkRises(t, revs, "term "+string(id), d.Term)
			}
			for id, j := range a.Jobs {
				checkRises(t, revs, "job "+string(id), j.Rev)
			}
		}
		for at := fleet.Offset(1); int(at) < len(log); at++ {
			_ = b.Apply(at, log[at])
		}
		if images(a) != images(b) {
			t.Fatalf("two states of one log differ")
		}
	})
}

// placeable specifies when a placement has an effect: the job is queued at the
// domain for this attempt, the record is from the domain's current term, and
// the domain is in service.
func placeable(s *state.State, p *wire.Place) bool {
	j := s.Jobs[fleet.JobID(p.GetJob())]
	d := s.Domains[fleet.DomainID(p.GetDomain())]
	return j != nil && j.Phase == wire.Phase_QUEUED && j.Home == p.Domain && j.Attempt+1 == p.Attempt &&
		d.GetTerm() == p.Term && !d.GetOut()
}

// content returns the state without the offset and the IDs, which every record
// changes.
func content(s *state.State) string {
	out := ""
	for _, m := range s.Images() {
		m.Upto, m.Ids = 0, nil
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		out += string(data)
	}
	return out
}

func checkRises(t *rapid.T, revs map[string]int64, key string, now int64) {
	if now < revs[key] {
		t.Fatalf("%s decreased from %d to %d", key, revs[key], now)
	}
	revs[key] = now
}

// Guards against images that lose state: a state loaded from an image must give
// the same outcomes for later records as the original.
func TestImageFoldsOnLikeTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := state.New()
		for range rapid.IntRange(1, 40).Draw(t, "before") {
			_ = a.Apply(a.Next, entry(t))
		}
		b, err := state.Load(a.Images())
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "after") {
			e := entry(t)
			if found, _ := a.Outcome(fleet.EntryID(e.Id)); found {
				continue // an image does not keep the IDs of refused records
			}
			ea, eb := a.Apply(a.Next, e), b.Apply(b.Next, e)
			if fmt.Sprint(ea) != fmt.Sprint(eb) {
				t.Fatalf("outcomes differ: %v and %v", ea, eb)
			}
		}
	})
}

// Guards against a deposed lead that starts jobs, and against jobs that start
// in a domain out of service. A placement of an older term, or after the domain
// was taken out in the log, has no effect.
func TestPlacementsOfOldTermsAndOutDomainsHaveNoEffect(t *testing.T) {
	s := state.New()
	n := 0
	apply := func(e *wire.Entry) error {
		n++
		e.Id = fmt.Sprint("r", n)
		return s.Apply(s.Next, e)
	}
	place := func(term int64) *wire.Entry {
		return &wire.Entry{Kind: &wire.Entry_Place{Place: &wire.Place{Job: "j", Attempt: 1, Term: term, Domain: "d"}}}
	}
	claim := func(prev int64) *wire.Entry {
		return &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Domain: "d", Host: "e", Prev: prev}}}
	}
	qt.Assert(t, apply(&wire.Entry{Kind: &wire.Entry_Space{Space: &wire.Space{Name: "s"}}}), qt.IsNil)
	qt.Assert(t, apply(&wire.Entry{Kind: &wire.Entry_Submit{Submit: &wire.Submit{Spec: &wire.Spec{Id: "j", Space: "s", Tasks: 1}, Home: "d"}}}), qt.IsNil)
	qt.Assert(t, apply(claim(0)), qt.IsNil)
	qt.Assert(t, apply(claim(3)), qt.IsNil)
	qt.Assert(t, apply(place(3)), qt.ErrorMatches, "place: stale: d is in term 4, not 3")
	qt.Assert(t, apply(&wire.Entry{Kind: &wire.Entry_Turn{Turn: &wire.Turn{Name: "d", Out: true}}}), qt.IsNil)
	qt.Assert(t, apply(place(4)), qt.ErrorMatches, "place: busy: d is out of service")
	qt.Assert(t, apply(&wire.Entry{Kind: &wire.Entry_Turn{Turn: &wire.Turn{Name: "d", Base: 6}}}), qt.IsNil)
	qt.Assert(t, apply(place(4)), qt.IsNil)
}

// A move restarts the time that a job has waited at its home, but not its total
// age.
func TestMoveBeginsTheWaitAtTheNewHome(t *testing.T) {
	s := state.New()
	for n, e := range []*wire.Entry{
		{Kind: &wire.Entry_Space{Space: &wire.Space{Name: "s"}}},
		{Kind: &wire.Entry_Submit{Submit: &wire.Submit{Spec: &wire.Spec{Id: "j", Space: "s", Tasks: 1}, Home: "d1"}}},
		{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Domain: "d1", Host: "e"}}},
		{Kind: &wire.Entry_Move{Move: &wire.Move{Job: "j", From: "d1", To: "d2", Term: 3}}},
	} {
		e.Id, e.At = fmt.Sprint("r", n), int64(1000*n)
		qt.Assert(t, s.Apply(s.Next, e), qt.IsNil)
	}
	j := s.Jobs["j"]
	qt.Assert(t, j.Home, qt.Equals, "d2")
	qt.Assert(t, j.Since, qt.Equals, int64(3000))
	qt.Assert(t, j.Begun, qt.Equals, int64(1000))
}

func TestGapIsNotApplied(t *testing.T) {
	s := state.New()
	err := s.Apply(3, &wire.Entry{Id: "x"})
	qt.Assert(t, err, qt.ErrorMatches, "apply: gap: .*")
	qt.Assert(t, s.Next, qt.Equals, fleet.Offset(1))
}

func TestImageWithoutAPieceIsRefused(t *testing.T) {
	s := state.New()
	_ = s.Apply(1, &wire.Entry{Id: "a", Kind: &wire.Entry_Space{Space: &wire.Space{Name: "s"}}})
	for i := range 500 {
		_ = s.Apply(s.Next, &wire.Entry{Id: fmt.Sprint(i), Kind: &wire.Entry_Submit{Submit: &wire.Submit{
			Spec: &wire.Spec{Id: fmt.Sprint("j", i), Space: "s", Tasks: 1},
		}}})
	}
	pieces := s.Images()
	qt.Assert(t, len(pieces) > 2, qt.IsTrue)
	_, err := state.Load(append(pieces[:1:1], pieces[2:]...))
	qt.Assert(t, err, qt.ErrorMatches, "load image: broken: .*")
	var a state.Assembler
	for _, p := range pieces[:len(pieces)-1] {
		qt.Assert(t, a.Add(p), qt.IsNil)
	}
	qt.Assert(t, a.Add(pieces[len(pieces)-1]), qt.HasLen, len(pieces))
}

func ExampleState_Apply() {
	s := state.New()
	set := &wire.Entry{Id: "1", Kind: &wire.Entry_Space{Space: &wire.Space{Name: "orders"}}}
	race := &wire.Entry{Id: "2", Kind: &wire.Entry_Space{Space: &wire.Space{Name: "orders"}}}
	fmt.Println(s.Apply(1, set))
	fmt.Println(s.Apply(2, race))
	// Output:
	// <nil>
	// set workspace: conflict: orders is at revision 1, not 0
}

// Records of other writers may lack an id. They are not repeats of each other.
func TestRecordsWithoutAnIDAreNotRepeats(t *testing.T) {
	s := state.New()
	for i, name := range []string{"a", "b"} {
		err := s.Apply(fleet.Offset(i+1), &wire.Entry{Kind: &wire.Entry_Space{Space: &wire.Space{Name: name}}})
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, s.Spaces, qt.HasLen, 2)
}

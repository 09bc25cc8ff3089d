package flow_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/flow"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func step(count int32, after ...int32) *wire.Step {
	return &wire.Step{Count: count, Span: 1000, After: after}
}

func task(round, stepIndex, index int) fleet.Task {
	return fleet.Task{Job: "j", Round: round, Step: stepIndex, Index: index}
}

func open(j *flow.Job, at time.Time) []string {
	var out []string
	j.OpenDue(at, func() bool { return true })
	j.EachOpen(at, func(s *flow.Step) { out = append(out, fmt.Sprintf("%d.%d", s.Round, s.Index)) })
	return out
}

func ExampleJob_CriticalPath() {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(4), step(1), step(2, 0, 1), step(1)}}, now)
	fmt.Println(j.CriticalPath())
	// Output: 2s
}

func TestStepsOpenInOrder(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(2), step(1, 0), step(1)}}, now)
	qt.Assert(t, open(j, now), qt.DeepEquals, []string{"0.0", "0.2"})
	j.Done(task(0, 0, 0), now)
	qt.Assert(t, open(j, now), qt.DeepEquals, []string{"0.0", "0.2"})
	j.Done(task(0, 0, 1), now)
	qt.Assert(t, open(j, now), qt.DeepEquals, []string{"0.1", "0.2"})
	j.Done(task(0, 1, 0), now)
	j.Done(task(0, 2, 0), now)
	qt.Assert(t, j.Stage(), qt.Equals, wire.Stage_COMPLETED)
}

func TestRoundsOpenAtTheirTimesAndOverlap(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(1)}, Repeat: &wire.Repeat{Count: 3, First: now.UnixMilli(), Every: 2000}}, now)
	qt.Assert(t, open(j, now.Add(-time.Millisecond)), qt.HasLen, 0)
	qt.Assert(t, open(j, now), qt.DeepEquals, []string{"0.0"})
	qt.Assert(t, open(j, now.Add(2*time.Second)), qt.DeepEquals, []string{"0.0", "1.0"})
	j.Done(task(1, 0, 0), now)
	qt.Assert(t, open(j, now.Add(5*time.Second)), qt.DeepEquals, []string{"0.0", "2.0"})
}

func TestLastingTasksNeitherEndNorFailTheirJob(t *testing.T) {
	s := step(1)
	s.Lasting = true
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{s}}, now)
	for run := range 20 {
		j.Start(task(0, 0, 0), fleet.Run(run+1), "w", 7)
		j.ClearRun(task(0, 0, 0), fleet.Run(run+1), now)
		j.Fail(task(0, 0, 0), fleet.Run(run+1), 3, now)
		j.Done(task(0, 0, 0), now)
	}
	qt.Assert(t, j.HasEnded(), qt.IsFalse)
	qt.Assert(t, open(j, now), qt.HasLen, 1)
}

func TestGangEndsTogetherAndFailsOnceARun(t *testing.T) {
	s := step(3)
	s.Gang = true
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{s}}, now)
	for i := range 3 {
		j.Start(task(0, 0, i), 1, "w", 7)
	}
	for i := range 3 {
		j.Fail(task(0, 0, i), 1, 2, now)
	}
	qt.Assert(t, j.Failed, qt.IsFalse)
	j.Fail(task(0, 0, 0), 2, 2, now)
	qt.Assert(t, j.Failed, qt.IsTrue)

	k := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{s}}, now)
	qt.Assert(t, k.Done(task(0, 0, 1), now), qt.IsTrue)
	qt.Assert(t, k.HasEnded(), qt.IsTrue)
}

func TestTasksThatAJobDoesNotHaveAreIgnored(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(1)}}, now)
	for _, unknown := range []fleet.Task{task(1, 0, 0), task(0, 1, 0), task(0, 0, 1), task(0, 0, -1), task(-1, 0, 0)} {
		qt.Check(t, j.Step(unknown), qt.IsNil)
		qt.Check(t, j.Done(unknown, now), qt.IsFalse)
		qt.Check(t, j.ClearRun(unknown, 1, now), qt.IsFalse)
		j.Save(unknown, "x")
		j.Fail(unknown, 1, 1, now)
		j.Accuse(unknown, flow.Likely, now)
		j.Acquit(unknown)
	}
	qt.Assert(t, j.HasEnded(), qt.IsFalse)
}

// A job that is restored from its stored progress has the same progress.
func TestResumeRestoresAJobFromItsTrack(t *testing.T) {
	gang := step(2, 0)
	gang.Gang, gang.Saves = true, true
	spec := &wire.Flow{Id: "j", Steps: []*wire.Step{step(3), gang}}
	j := flow.New(spec, now)
	j.Start(task(0, 0, 0), 1, "w1", 7)
	j.Start(task(0, 0, 1), 1, "w2", 7)
	j.Start(task(0, 0, 2), 1, "w2", 7)
	j.Done(task(0, 0, 0), now)
	j.ClearRun(task(0, 0, 0), 1, now)
	j.ClearRun(task(0, 0, 1), 1, now)
	j.Fail(task(0, 0, 1), 1, 3, now)
	j.Save(task(0, 0, 1), "five")
	j.Accuse(task(0, 0, 2), flow.Likely, now)
	j.Save(task(0, 1, 1), "gang")
	k := flow.New(spec, now)
	k.Resume(j.Track(false, 0), now)
	qt.Assert(t, k.Track(false, 0).String(), qt.Equals, j.Track(false, 0).String())
	qt.Assert(t, k.Rounds[0].Steps[0].Unfinished(), qt.Equals, 2)
	qt.Assert(t, k.Rounds[0].Steps[0].CheckpointOf(1), qt.Equals, "five")
	qt.Assert(t, k.Rounds[0].Steps[1].CheckpointOf(0), qt.Equals, "gang")
	qt.Assert(t, k.Begun(), qt.IsTrue)
	qt.Assert(t, k.Rounds[0].Steps[0].Tasks[2].Suspected(), qt.IsTrue)
	qt.Assert(t, k.Rounds[0].Steps[0].Tasks[2].Inc, qt.Equals, fleet.Incarnation(7))

	j.Cancel(now)
	k = flow.New(spec, now)
	k.Resume(j.Track(false, 0), now)
	qt.Assert(t, k.Stage(), qt.Equals, wire.Stage_WITHDRAWN)
}

// Three crashes of workers as they started a task fail its job, or five of any kind. A task
// that was acquitted begins anew.
func TestJobFailsWithTooMuchBlameOfOneTask(t *testing.T) {
	for blame, crashes := range map[flow.Blame]int{flow.Likely: 3, flow.Possible: 5, flow.Late: 5} {
		j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(2)}}, now)
		for range crashes - 1 {
			j.Accuse(task(0, 0, 0), blame, now)
			j.Accuse(task(0, 0, 1), blame, now)
		}
		qt.Assert(t, j.Failed, qt.IsFalse)
		j.Acquit(task(0, 0, 1))
		j.Accuse(task(0, 0, 1), blame, now)
		qt.Assert(t, j.Failed, qt.IsFalse)
		j.Accuse(task(0, 0, 0), flow.Unrelated, now)
		qt.Assert(t, j.Failed, qt.IsFalse)
		j.Accuse(task(0, 0, 0), blame, now)
		qt.Assert(t, j.Stage(), qt.Equals, wire.Stage_BROKE)
	}
}

// A step that takes no time must not cut the path behind it.
func TestPathAfterAStepThatTakesNoTime(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{
		{Count: 1, Span: 1000}, {Count: 1, After: []int32{0}}, {Count: 1, Span: 5000, After: []int32{1}}, {Count: 1, Span: 9000},
	}}, now)
	qt.Assert(t, j.PathAfter(0), qt.Equals, 5*time.Second)
	qt.Assert(t, j.PathAfter(2), qt.Equals, time.Duration(0))
}

// A job that repeats keeps state for the rounds that count alone, however many there are, and one that is
// restored from its stored progress has the same rounds.
func TestRoundsThatHaveEndedTakeNoState(t *testing.T) {
	spec := &wire.Flow{Id: "j", Steps: []*wire.Step{step(2), step(1, 0)}, Repeat: &wire.Repeat{Count: 1000, First: now.UnixMilli(), Every: 1000}}
	j := flow.New(spec, now)
	qt.Assert(t, j.Tasks(), qt.Equals, 0)
	qt.Assert(t, j.Unfinished(), qt.Equals, 3000)
	for i := range 1000 {
		wall := now.Add(time.Duration(i) * time.Second)
		j.OpenDue(wall, func() bool { return true })
		if i%10 != 0 { // one in ten is late
			finishRound(j, i)
		}
		if i%10 == 5 {
			finishRound(j, i-5)
		}
		j.Close()
		qt.Assert(t, j.Tasks() <= 3, qt.IsTrue)
		k := flow.New(spec, now)
		k.Resume(j.Track(false, 0), now)
		qt.Assert(t, k.Track(false, 0).String(), qt.Equals, j.Track(false, 0).String())
		qt.Assert(t, k.HasEnded(), qt.Equals, j.HasEnded())
		if j.HasEnded() {
			break // only how it ended is stored
		}
		qt.Assert(t, k.Unfinished(), qt.Equals, j.Unfinished())
		j = k
	}
	qt.Assert(t, j.HasEnded(), qt.IsTrue)
	qt.Assert(t, j.Unfinished(), qt.Equals, 0)
}

func finishRound(j *flow.Job, round int) {
	for _, k := range []fleet.Task{task(round, 0, 0), task(round, 0, 1), task(round, 1, 0)} {
		j.Start(k, 1, "w", 7)
		j.ClearRun(k, 1, now)
		j.Done(k, now)
	}
}

// A task of a round that has been closed has succeeded, and one of a round that does not count yet has not.
func TestTasksOfRoundsWithoutState(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(1)}, Repeat: &wire.Repeat{Count: 9, First: now.UnixMilli(), Every: 1000}}, now)
	j.OpenDue(now.Add(time.Second), func() bool { return true })
	j.Start(task(0, 0, 0), 1, "w", 7)
	j.Done(task(0, 0, 0), now)
	qt.Assert(t, j.Close(), qt.HasLen, 0, qt.Commentf("its run is on a worker"))
	j.ClearRun(task(0, 0, 0), 1, now)
	qt.Assert(t, j.Close(), qt.HasLen, 1)
	qt.Check(t, j.Step(task(0, 0, 0)).Tasks[0].Done, qt.IsTrue)
	qt.Check(t, j.Step(task(5, 0, 0)).Tasks[0].Done, qt.IsFalse)
	qt.Check(t, j.Step(task(9, 0, 0)), qt.IsNil)
	qt.Check(t, j.Done(task(0, 0, 0), now), qt.IsFalse)
	qt.Check(t, j.Done(task(5, 0, 0), now), qt.IsFalse)
	qt.Check(t, j.Unfinished(), qt.Equals, 8)
}

// Progress that an earlier version stored lists all tasks that have succeeded.
func TestResumeOfRoundsFromAnOlderVersion(t *testing.T) {
	j := flow.New(&wire.Flow{Id: "j", Steps: []*wire.Step{step(1)}, Repeat: &wire.Repeat{Count: 9, First: now.UnixMilli(), Every: 1000}}, now)
	j.Resume(&wire.Track{Id: "j", Pieces: []*wire.Piece{{Round: 0, Done: true, Run: 1}, {Round: 2, Run: 1, Worker: "w"}}}, now)
	j.Close()
	qt.Check(t, open(j, now.Add(2*time.Second)), qt.DeepEquals, []string{"1.0", "2.0"})
	qt.Check(t, j.Unfinished(), qt.Equals, 8)
}

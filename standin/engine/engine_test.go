package engine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"dragonflydeck.example/standin/engine"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// start starts a run on an engine.
func start(t *testing.T, e *engine.Engine, task string, need engine.Need) {
	t.Helper()
	send(t, e, "/run-start", task, need)
}

// send sends a start or a stop to an engine.
func send(t *testing.T, e *engine.Engine, path, task string, need engine.Need) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"task": task, "run": 1, "spec": need.Spec(), "untilMs": 60000, "fencingToken": 1})
	qt.Assert(t, err, qt.IsNil)
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBody(body)
	e.Handle(&ctx)
	qt.Assert(t, ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusOK)
}

var room = engine.Room{Cores: 8000, Mem: 8192, Accels: 8}

// The members of a gang end together, whichever engine notices the end first.
func TestMembersOfAGangEndTogether(t *testing.T) {
	auditor := engine.NewAuditor()
	var engines []*engine.Engine
	for i := range 3 {
		engines = append(engines, engine.New(engine.Options{
			ID: fmt.Sprint("w", i), Room: room, MaxLease: time.Minute, GangTimeout: 3 * time.Second, Auditor: auditor,
		}))
	}
	need := engine.Need{Accels: 1, Gang: 3, Span: 20 * time.Millisecond}
	for i, e := range engines {
		start(t, e, fmt.Sprintf("job.0.0.%d", i), need)
	}
	for _, e := range engines {
		e.Tick()
	}
	qt.Assert(t, auditor.Running("job"), qt.Equals, 3)
	time.Sleep(2 * need.Span)
	engines[1].Tick()
	qt.Assert(t, auditor.Running("job"), qt.Equals, 0)
	for _, e := range engines {
		e.Tick()
	}
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
}

// A start counts as a violation once the engine's stored notice is older than allowed,
// unless the engine's link fails.
func TestStartAfterTheNoticeIsAViolation(t *testing.T) {
	auditor := engine.NewAuditor()
	e := engine.New(engine.Options{
		ID: "w0", Room: room, MaxLease: time.Minute, DrainTime: 20 * time.Millisecond, Auditor: auditor,
	})
	ready := e.Entry("desk", "w0:1")
	e.Drain(time.Second)
	e.NoteStored(ready)
	time.Sleep(30 * time.Millisecond)
	start(t, e, "job.0.0.0", engine.Need{})
	e.NoteStored(e.Entry("desk", "w0:1"))
	start(t, e, "job.0.0.1", engine.Need{})
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	time.Sleep(30 * time.Millisecond)
	e.CutLink(true)
	start(t, e, "job.0.0.2", engine.Need{})
	e.CutLink(false)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	e.Drain(0)
	start(t, e, "job.0.0.3", engine.Need{})
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)

	other := engine.New(engine.Options{
		ID: "w1", Room: room, MaxLease: time.Minute, DrainTime: 20 * time.Millisecond, Auditor: auditor,
	})
	other.Drain(time.Second)
	other.NoteStored(other.Entry("desk", "w1:1"))
	time.Sleep(30 * time.Millisecond)
	start(t, other, "job.0.0.4", engine.Need{})
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
	qt.Assert(t, auditor.Violations()[0], qt.Contains, "after the notice that it leaves was stored")
}

// A start counts as a violation if it takes the engine over a smaller capacity that has
// been stored for long enough, or over its full one.
func TestStartOverAShrunkCapacityIsAViolation(t *testing.T) {
	auditor := engine.NewAuditor()
	e := engine.New(engine.Options{ID: "w0", Room: room, MaxLease: time.Minute, ShrinkTime: 20 * time.Millisecond, Auditor: auditor})
	need := engine.Need{Accels: 4, Span: time.Minute}
	e.Resize(engine.Room{Cores: 8000, Mem: 8192, Accels: 3})
	time.Sleep(30 * time.Millisecond)
	e.NoteStored(e.Entry("desk", "w0:1"))
	start(t, e, "job.0.0.0", need)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	time.Sleep(30 * time.Millisecond)
	e.CutLink(true)
	start(t, e, "job.0.0.1", need)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	start(t, e, "job.0.0.2", need)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)

	other := engine.New(engine.Options{ID: "w1", Room: room, MaxLease: time.Minute, ShrinkTime: 20 * time.Millisecond, Auditor: auditor})
	other.Resize(engine.Room{Accels: 3})
	other.NoteStored(other.Entry("desk", "w1:1"))
	time.Sleep(30 * time.Millisecond)
	start(t, other, "job.0.0.3", need)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 2)
	other.Resize(room)
	other.NoteStored(other.Entry("desk", "w1:1"))
	start(t, other, "job.0.0.4", need)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 2)
}

// A deadly task crashes each engine that starts it. Its sixth start is a violation.
func TestSixthStartOfADeadlyTaskIsAViolation(t *testing.T) {
	auditor := engine.NewAuditor()
	need := engine.Need{Accels: 1, Span: time.Minute, Deadly: true}
	for i := range 6 {
		qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
		e := engine.New(engine.Options{ID: fmt.Sprint("w", i), Room: room, MaxLease: time.Minute, Auditor: auditor})
		start(t, e, "job.0.0.1", need)
		time.Sleep(30 * time.Millisecond)
		qt.Assert(t, e.Down(), qt.IsFalse, qt.Commentf("only the first task is deadly"))
		start(t, e, "job.0.0.0", need)
		for deadline := time.Now().Add(time.Second); !e.Down(); time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the engine has not crashed"))
		}
	}
	qt.Assert(t, auditor.Crashes("job"), qt.Equals, 6)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
}

// capped is two engines and a workspace x that may have four accelerators on both
// together.
func capped(stopTime time.Duration) (*engine.Auditor, [2]*engine.Engine) {
	auditor := engine.NewAuditor()
	auditor.SetCap("x", engine.Room{Accels: 4}, 0)
	var engines [2]*engine.Engine
	for i := range engines {
		engines[i] = engine.New(engine.Options{ID: fmt.Sprint("w", i), Room: room, MaxLease: time.Minute, StopTime: stopTime, Auditor: auditor})
	}
	return auditor, engines
}

// need2 is half of the cap of workspace x.
var need2 = engine.Need{Cores: 1000, Mem: 1024, Accels: 2, Span: time.Minute, Space: "x"}

// A start at the cap of the workspace is allowed, and one above it, on whichever engine, is
// a violation. Other workspaces don't count.
func TestStartAboveTheCapIsAViolation(t *testing.T) {
	auditor, engines := capped(0)
	other := need2
	other.Space = "y"
	start(t, engines[0], "other.0.0.0", other)
	start(t, engines[0], "job.0.0.0", need2)
	start(t, engines[1], "job.0.0.1", need2)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	start(t, engines[1], "job.0.0.2", engine.Need{Accels: 1, Space: "x"})
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
	qt.Assert(t, auditor.Violations()[0], qt.Contains, "over its cap")
}

// Each of the three resources is capped.
func TestStartAboveTheCapInAnyResourceIsAViolation(t *testing.T) {
	for _, limit := range []engine.Room{{Cores: 1999}, {Mem: 2047}, {Accels: 3}} {
		auditor, engines := capped(0)
		auditor.SetCap("x", limit, 0)
		start(t, engines[0], "job.0.0.0", need2)
		qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
		start(t, engines[1], "job.0.0.1", need2)
		qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
	}
}

// A run that is being stopped counts until it has ended.
func TestRunThatIsBeingStoppedCountsForTheCap(t *testing.T) {
	auditor, engines := capped(20 * time.Millisecond)
	start(t, engines[0], "job.0.0.0", need2)
	start(t, engines[1], "job.0.0.1", need2)
	send(t, engines[0], "/run-stop", "job.0.0.0", need2)
	start(t, engines[1], "job.0.0.2", need2)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
	send(t, engines[1], "/run-stop", "job.0.0.2", need2)
	time.Sleep(30 * time.Millisecond)
	engines[0].Tick()
	engines[1].Tick()
	start(t, engines[0], "job.0.0.3", need2)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
}

// A lowered cap counts after the stated time, and what runs may go on.
func TestStartAboveALoweredCapIsAViolation(t *testing.T) {
	auditor, engines := capped(0)
	start(t, engines[0], "job.0.0.0", need2)
	auditor.SetCap("x", engine.Room{Accels: 2}, 20*time.Millisecond)
	one := engine.Need{Accels: 1, Span: time.Minute, Space: "x"}
	start(t, engines[0], "job.0.0.1", one)
	time.Sleep(30 * time.Millisecond)
	engines[0].Tick()
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	start(t, engines[1], "job.0.0.2", one)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
}

// A raised cap counts at once, also while a lowered one is not in force yet; so does its
// removal.
func TestRaisedCapCountsAtOnce(t *testing.T) {
	auditor, engines := capped(0)
	auditor.SetCap("x", engine.Room{Accels: 2}, time.Minute)
	auditor.SetCap("x", engine.Room{Accels: 6}, time.Minute)
	for i := range 3 {
		start(t, engines[0], fmt.Sprint("job.0.0.", i), need2)
	}
	qt.Assert(t, auditor.Violations(), qt.HasLen, 0)
	start(t, engines[1], "job.0.0.3", need2)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
	auditor.SetCap("x", engine.Room{}, 0)
	start(t, engines[1], "job.0.0.4", need2)
	qt.Assert(t, auditor.Violations(), qt.HasLen, 1)
}

// The run time of a task is divided by the speed of its engine. A gang ends with its slowest
// member and not before.
func TestRunTimeFollowsTheSpeedOfTheEngine(t *testing.T) {
	auditor := engine.NewAuditor()
	engines := map[float64]*engine.Engine{}
	for _, speed := range []float64{0, 0.5, 2} {
		engines[speed] = engine.New(engine.Options{
			ID: fmt.Sprint("w", speed), Room: room, Speed: speed, MaxLease: time.Minute, GangTimeout: 3 * time.Second, Auditor: auditor,
		})
	}
	const span = 200 * time.Millisecond
	for speed, e := range engines {
		start(t, e, fmt.Sprintf("job%v.0.0.0", speed*10), engine.Need{Span: span})
		start(t, e, fmt.Sprintf("gang.0.0.%v", speed*10), engine.Need{Span: span, Gang: len(engines)})
	}
	for _, at := range []struct {
		sleep                      time.Duration
		fast, normal, slow, inGang int
	}{{0, 1, 1, 1, 3}, {span * 3 / 4, 0, 1, 1, 3}, {span * 3 / 4, 0, 0, 1, 3}, {span, 0, 0, 0, 0}} {
		time.Sleep(at.sleep)
		for _, e := range engines {
			e.Tick()
		}
		qt.Check(t, auditor.Running("job20"), qt.Equals, at.fast)
		qt.Check(t, auditor.Running("job0"), qt.Equals, at.normal)
		qt.Check(t, auditor.Running("job5"), qt.Equals, at.slow)
		qt.Check(t, auditor.Running("gang"), qt.Equals, at.inGang)
	}
}

// A run that is started with a checkpoint resumes from it, and passes it on.
func TestRunResumesFromItsCheckpoint(t *testing.T) {
	e := engine.New(engine.Options{ID: "w", Room: room, MaxLease: time.Minute, Auditor: engine.NewAuditor()})
	call := func(path string, body map[string]any) string {
		data, err := json.Marshal(body)
		qt.Assert(t, err, qt.IsNil)
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(path)
		ctx.Request.SetBody(data)
		e.Handle(&ctx)
		qt.Assert(t, ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusOK)
		return string(ctx.Response.Body())
	}
	need := engine.Need{Accels: 1, Span: time.Hour, Saves: true}
	call("/run-start", map[string]any{"task": "job.0.0.0", "run": 1, "spec": need.Spec(), "checkpoint": "40", "untilMs": 60000, "fencingToken": 1})
	qt.Check(t, call("/hold", map[string]any{"fencingToken": 1}), qt.Contains, `"running":[["job.0.0.0",1,"40",40,0]]`)
}

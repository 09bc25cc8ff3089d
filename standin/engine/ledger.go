package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Need is what a task takes and how long it runs, as its job's spec tells the
// engine.
type Need struct {
	Cores  int64
	Mem    int64
	Accels int64
	Gang   int           // members, 0 for tasks that stand alone
	Span   time.Duration // nanoseconds
}

// Spec returns the need as a job's spec.
func (n Need) Spec() string {
	data, err := json.Marshal(n)
	if err != nil {
		panic(err) // a struct of numbers
	}
	return string(data)
}

// ReadNeed reads a spec; one that is no need takes nothing.
func ReadNeed(spec string) Need {
	var n Need
	if err := json.Unmarshal([]byte(spec), &n); err != nil {
		return Need{}
	}
	return n
}

// Ledger sees what all engines do and holds it against the rules.
type Ledger struct {
	mu      sync.Mutex
	running map[string]map[string]int64 // engines and runs by task
	done    map[string]bool             // tasks that ended well, which the lead has noted
	ends    map[string]place            // good ends that the lead has not noted, by task
	again   map[place]string            // starts after such an end
	gangs   map[string]*gang
	starts  map[string]int // by job
	faults  []string
}

// place is one run of a task on an engine.
type place struct {
	engine string
	task   string
	no     int64
}

// gang is one run of a gang.
type gang struct {
	here  map[string]bool // members that are there
	ended string          // how the first of them ended
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		running: map[string]map[string]int64{}, done: map[string]bool{},
		ends: map[string]place{}, again: map[place]string{},
		gangs: map[string]*gang{}, starts: map[string]int{},
	}
}

// Broken returns the rules that were broken.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// Starts returns how many runs of a job have begun.
func (l *Ledger) Starts(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[job]
}

// Running returns how many tasks of a job run now.
func (l *Ledger) Running(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, on := range l.running {
		if strings.HasPrefix(task, job+".") {
			n += len(on)
		}
	}
	return n
}

func (l *Ledger) breaks(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *Ledger) began(e *Engine, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(r.task, ".")
	l.starts[job]++
	if again := fmt.Sprintf("task %s run %d starts on %s after it ended well", r.task, r.no, e.opts.ID); l.done[r.task] {
		l.breaks("%s", again)
	} else if p, ok := l.ends[r.task]; ok {
		l.again[p] = again
	}
	for on, no := range l.running[r.task] {
		l.breaks("task %s run %d starts on %s while run %d is on %s", r.task, r.no, e.opts.ID, no, on)
	}
	if l.running[r.task] == nil {
		l.running[r.task] = map[string]int64{}
	}
	l.running[r.task][e.opts.ID] = r.no
	l.room(e)
	if r.need.Gang > 0 {
		g := l.gang(r)
		g.here[r.task] = true
	}
}

// noted says that the lead has noted a good end, and that the engine's lease has
// not lapsed since. Such an end forbids any other start, also one before it was
// noted.
func (l *Ledger) noted(p place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[p.task] = true
	if again, ok := l.again[p]; ok {
		l.breaks("%s, and that end was noted", again)
		delete(l.again, p)
	}
}

// room holds what runs on an engine against what it has.
func (l *Ledger) room(e *Engine) {
	var used Need
	for _, r := range e.runs {
		used.Cores, used.Mem, used.Accels = used.Cores+r.need.Cores, used.Mem+r.need.Mem, used.Accels+r.need.Accels
	}
	if used.Cores > e.opts.Cores || used.Mem > e.opts.Mem || used.Accels > e.opts.Accels {
		l.breaks("%s runs more than it has room for: %+v", e.opts.ID, used)
	}
}

func (l *Ledger) gang(r *run) *gang {
	name := fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.no)
	g, ok := l.gangs[name]
	if !ok {
		g = &gang{here: map[string]bool{}}
		l.gangs[name] = g
	}
	return g
}

// whole reports whether every member of a run's gang is there.
func (l *Ledger) whole(r *run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.need.Gang == 0 || len(l.gang(r).here) >= r.need.Gang
}

// endDone is how a run ends that has done its work.
const endDone = "done"

// gangEnd returns how the first member of a run's gang ended; empty while none
// has. The members of a gang end together.
func (l *Ledger) gangEnd(r *run) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.need.Gang == 0 {
		return ""
	}
	return l.gang(r).ended
}

func (l *Ledger) ended(id string, r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[r.task], id)
	if how == endDone {
		l.ends[r.task] = place{id, r.task, r.no}
	}
	if r.need.Gang == 0 {
		return
	}
	g := l.gang(r)
	if g.ended == "" {
		g.ended = how
	}
	if g.ended == endDone {
		for task := range g.here {
			l.drop(task, r.no)
		}
	}
}

// drop takes a run of a task out of what runs.
func (l *Ledger) drop(task string, no int64) {
	for on, n := range l.running[task] {
		if n == no {
			delete(l.running[task], on)
		}
	}
}

package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Need is the resources and the run time of a task. It is the JSON content of its
// job's spec.
type Need struct {
	Cores  int64
	Mem    int64
	Accels int64
	Gang   int           // number of members; 0 for a task without a gang
	Span   time.Duration // run time; nanoseconds in JSON
}

// Spec encodes the need as a job's spec.
func (n Need) Spec() string {
	data, err := json.Marshal(n)
	if err != nil {
		panic(err) // a struct of numbers always encodes
	}
	return string(data)
}

// ReadNeed decodes a spec. One that is not valid needs nothing.
func ReadNeed(spec string) Need {
	var n Need
	if err := json.Unmarshal([]byte(spec), &n); err != nil {
		return Need{}
	}
	return n
}

// Auditor records what all engines do and checks it against the rules.
type Auditor struct {
	mu         sync.Mutex
	running    map[string]map[string]int64 // run numbers by task and engine
	done       map[string]bool             // tasks whose success the lead has acknowledged
	succeeded  map[string]runKey           // newest successful run by task, acknowledged or not
	restarts   map[runKey]string           // starts after a successful run, violations once it is acknowledged
	gangs      map[string]*gang
	starts     map[string]int // by job
	violations []string
}

// runKey is one run of a task on an engine.
type runKey struct {
	engine string
	task   string
	number int64
}

// gang is one run of a gang.
type gang struct {
	present map[string]bool // members that have started
	outcome string          // how the first member ended; empty while none has
}

// NewAuditor returns an empty ledger.
func NewAuditor() *Auditor {
	return &Auditor{
		running: map[string]map[string]int64{}, done: map[string]bool{},
		succeeded: map[string]runKey{}, restarts: map[runKey]string{},
		gangs: map[string]*gang{}, starts: map[string]int{},
	}
}

// Violations returns the violations of the rules.
func (l *Auditor) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Starts returns how many runs of a job have started.
func (l *Auditor) Starts(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[job]
}

// Running returns how many tasks of a job run now.
func (l *Auditor) Running(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for task, engines := range l.running {
		if strings.HasPrefix(task, job+".") {
			count += len(engines)
		}
	}
	return count
}

func (l *Auditor) violation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *Auditor) runStarted(e *Engine, r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(r.task, ".")
	l.starts[job]++
	if restart := fmt.Sprintf("task %s run %d starts on %s after it succeeded", r.task, r.number, e.opts.ID); l.done[r.task] {
		l.violation("%s", restart)
	} else if p, ok := l.succeeded[r.task]; ok {
		l.restarts[p] = restart
	}
	for other, number := range l.running[r.task] {
		l.violation("task %s run %d starts on %s while run %d is on %s", r.task, r.number, e.opts.ID, number, other)
	}
	if l.running[r.task] == nil {
		l.running[r.task] = map[string]int64{}
	}
	l.running[r.task][e.opts.ID] = r.number
	l.checkCapacity(e)
	if r.need.Gang > 0 {
		g := l.gang(r)
		g.present[r.task] = true
	}
}

// endAcknowledged records that the lead has acknowledged a successful run while
// the engine's lease has not lapsed since its end. Such a run forbids any other
// start of the task, also one before the acknowledgement.
func (l *Auditor) endAcknowledged(p runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[p.task] = true
	if restart, ok := l.restarts[p]; ok {
		l.violation("%s, and that success was acknowledged", restart)
		delete(l.restarts, p)
	}
}

// checkCapacity checks that the runs on an engine fit its capacity.
func (l *Auditor) checkCapacity(e *Engine) {
	var used Need
	for _, r := range e.runs {
		used.Cores, used.Mem, used.Accels = used.Cores+r.need.Cores, used.Mem+r.need.Mem, used.Accels+r.need.Accels
	}
	if used.Cores > e.opts.Cores || used.Mem > e.opts.Mem || used.Accels > e.opts.Accels {
		l.violation("%s runs more than its capacity: %+v", e.opts.ID, used)
	}
}

func (l *Auditor) gang(r *run) *gang {
	name := fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	g, ok := l.gangs[name]
	if !ok {
		g = &gang{present: map[string]bool{}}
		l.gangs[name] = g
	}
	return g
}

// gangComplete reports whether every member of a run's gang has started.
func (l *Auditor) gangComplete(r *run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.need.Gang == 0 || len(l.gang(r).present) >= r.need.Gang
}

// outcomeDone is the outcome of a run that completed its work.
const outcomeDone = "done"

// gangOutcome returns how the first member of a run's gang ended, or "" while none
// has. The members of a gang end together.
func (l *Auditor) gangOutcome(r *run) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.need.Gang == 0 {
		return ""
	}
	return l.gang(r).outcome
}

func (l *Auditor) runEnded(id string, r *run, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[r.task], id)
	if outcome == outcomeDone {
		l.succeeded[r.task] = runKey{id, r.task, r.number}
	}
	if r.need.Gang == 0 {
		return
	}
	g := l.gang(r)
	if g.outcome == "" {
		g.outcome = outcome
	}
	if g.outcome == outcomeDone {
		for task := range g.present {
			l.removeRun(task, r.number)
		}
	}
}

// removeRun removes a run of a task from the running ones.
func (l *Auditor) removeRun(task string, number int64) {
	for engineID, n := range l.running[task] {
		if n == number {
			delete(l.running[task], engineID)
		}
	}
}

// Package lines writes numbered events as structured log lines. Their volume is
// bounded and a reader that does not read them holds nobody up.
package lines

import (
	"io"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Lines writes numbered events as log lines, at most so many a second of each
// kind. A line after a gap says how many were left out.
type Lines struct {
	host  fleet.HostID
	out   log.Logger
	most  int
	mu    sync.Mutex
	kinds map[event.Code]*meter
	async *log.AsyncWriter // nil if lines wait for their reader
}

// buffered is how many lines wait at most for a slow reader.
const buffered = 4096

// NewAsync returns lines that never wait for their reader. Lines that it does
// not take in time are dropped.
func NewAsync(host fleet.HostID, level string, most int, w io.Writer) *Lines {
	l := New(host, level, most, w)
	l.async = &log.AsyncWriter{ChannelSize: buffered, DiscardOnFull: true, Writer: l.out.Writer}
	l.out.Writer = l.async
	return l
}

// Close writes the lines that wait. It does nothing for lines that never do.
func (l *Lines) Close() error {
	if l.async == nil {
		return nil
	}
	return l.async.Close()
}

// meter counts the lines of one kind in the present second.
type meter struct {
	second  int64
	written int
	skipped int
}

// New returns lines of a host from a level on, at most so many a second of each
// kind of event.
func New(host fleet.HostID, level string, most int, w io.Writer) *Lines {
	return &Lines{
		host: host, most: most, kinds: map[event.Code]*meter{},
		out: log.Logger{
			Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
			Writer: &log.IOWriter{Writer: w},
		},
	}
}

// Write writes one event.
func (l *Lines) Write(e event.Event) {
	metrics.GetOrCreateCounter(`deckd_events_total{event="` + e.Code.String() + `"}`).Inc()
	level := l.level(e)
	if level < l.out.Level {
		return
	}
	skipped, ok := l.allow(e.Code)
	if !ok {
		return
	}
	line := l.out.WithLevel(level).Int32("code", int32(e.Code)).Str("event", e.Code.String()).
		Str("host", string(e.Host)).Str("about", e.About)
	if e.Offset > 0 {
		line = line.Int64("offset", int64(e.Offset))
	}
	if skipped > 0 {
		line = line.Int("skipped", skipped)
	}
	line.Msg(e.Text)
}

// level is that of the catalogue. Records of other hosts are theirs to tell.
func (l *Lines) level(e event.Event) log.Level {
	if e.Offset > 0 && e.Host != l.host {
		return log.DebugLevel
	}
	c, _ := event.Lookup(e.Code)
	switch c.Level {
	case event.Debug:
		return log.DebugLevel
	case event.Warn:
		return log.WarnLevel
	case event.Error:
		return log.ErrorLevel
	}
	return log.InfoLevel
}

func (l *Lines) allow(c event.Code) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, found := l.kinds[c]
	if !found {
		m = &meter{}
		l.kinds[c] = m
	}
	if now := time.Now().Unix(); m.second != now {
		m.second, m.written = now, 0
	}
	if m.written >= l.most {
		m.skipped++
		return 0, false
	}
	m.written++
	skipped, m.skipped = m.skipped, 0
	return skipped, true
}

package daemon

import (
	"io"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// lines writes numbered events as log lines, at most so many a second of each
// kind. A line after a gap says how many were left out.
type lines struct {
	host  fleet.HostID
	out   log.Logger
	most  int
	mu    sync.Mutex
	kinds map[event.Code]*meter
}

// meter counts the lines of one kind in the present second.
type meter struct {
	second  int64
	written int
	skipped int
}

func newLines(host fleet.HostID, level string, most int, w io.Writer) *lines {
	return &lines{
		host: host, most: most, kinds: map[event.Code]*meter{},
		out: log.Logger{
			Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
			Writer: &log.IOWriter{Writer: w},
		},
	}
}

func (l *lines) write(e event.Event) {
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
func (l *lines) level(e event.Event) log.Level {
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

func (l *lines) allow(c event.Code) (skipped int, ok bool) {
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

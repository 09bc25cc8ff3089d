// Package logger writes numbered events as structured log lines. It limits their
// rate, and can drop lines instead of blocking when the output is slow.
package logger

import (
	"io"
	"sync"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/event"
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Logger is a logger for numbered events that limits the rate of each event code.
// The first line after a gap carries the number of lines skipped.
type Logger struct {
	host         fleet.HostID
	logger       log.Logger
	maxPerSecond int
	mu           sync.Mutex
	limits       map[event.Code]*rateLimit
	async        *log.AsyncWriter // nil if writes block
}

// asyncBufferLines is how many lines are buffered for a slow output.
const asyncBufferLines = 4096

// NewAsync is like New but returns a logger whose writes never block. Lines are
// dropped while its buffer is full.
func NewAsync(host fleet.HostID, level string, maxPerSecond int, w io.Writer) *Logger {
	l := New(host, level, maxPerSecond, w)
	l.async = &log.AsyncWriter{ChannelSize: asyncBufferLines, DiscardOnFull: true, Writer: l.logger.Writer}
	l.logger.Writer = l.async
	return l
}

// Close flushes the buffered lines. Without a buffer it does nothing.
func (l *Logger) Close() error {
	if l.async == nil {
		return nil
	}
	return l.async.Close()
}

// rateLimit counts the lines of one event code in the current second.
type rateLimit struct {
	second  int64
	written int
	skipped int
}

// New returns a logger for a host that writes events of at least the given
// level, and at most maxPerSecond lines a second of each event code.
func New(host fleet.HostID, level string, maxPerSecond int, w io.Writer) *Logger {
	return &Logger{
		host: host, maxPerSecond: maxPerSecond, limits: map[event.Code]*rateLimit{},
		logger: log.Logger{
			Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
			Writer: &log.IOWriter{Writer: w},
		},
	}
}

// Write counts an event and logs it if its level and the rate limit permit.
func (l *Logger) Write(e event.Event) {
	metrics.GetOrCreateCounter(`deckd_events_total{event="` + e.Code.String() + `"}`).Inc()
	level := l.level(e)
	if level < l.logger.Level {
		return
	}
	skipped, ok := l.allow(e.Code)
	if !ok {
		return
	}
	line := l.logger.WithLevel(level).Int32("code", int32(e.Code)).Str("event", e.Code.String()).
		Str("host", string(e.Host)).Str("about", e.About)
	if e.Offset > 0 {
		line = line.Int64("offset", int64(e.Offset))
	}
	if skipped > 0 {
		line = line.Int("skipped", skipped)
	}
	line.Msg(e.Text)
}

// level returns the event's level in the catalogue. Log records of other hosts
// get the debug level, since those hosts log them themselves.
func (l *Logger) level(e event.Event) log.Level {
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

func (l *Logger) allow(c event.Code) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.limits[c]
	if !found {
		r = &rateLimit{}
		l.limits[c] = r
	}
	if now := time.Now().Unix(); r.second != now {
		r.second, r.written = now, 0
	}
	if r.written >= l.maxPerSecond {
		r.skipped++
		return 0, false
	}
	r.written++
	skipped, r.skipped = r.skipped, 0
	return skipped, true
}

package site

import (
	"fmt"
	"net/http"
	"strings"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/VictoriaMetrics/metrics"
)

// metrics returns the counters of the process as text.
func (s *Site) metrics() (int, string) {
	var w strings.Builder
	v := s.view.Load()
	fmt.Fprintf(&w, "deckd_lead %d\n", bit(v.here))
	fmt.Fprintf(&w, "deckd_ready %d\n", bit(s.Ready()))
	if v.term > 0 {
		fmt.Fprintf(&w, "deckd_lead_known{addr=%q} 1\n", v.addr)
	}
	metrics.WritePrometheus(&w, true)
	return http.StatusOK, w.String()
}

// callSeconds is the histogram of how long callers waited for a call.
func callSeconds(call string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("deckd_call_seconds{call=%q}", call))
}

// callCount counts calls by their outcome.
func callCount(call string, v wire.Verdict) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("deckd_calls_total{call=%q,verdict=%q}", call, strings.ToLower(v.String())))
}

// outSeconds is the histogram of calls to the store and to workers.
func outSeconds(call string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("deckd_out_seconds{call=%q}", call))
}

// outCount counts calls to the store and to workers by their outcome.
func outCount(call string, err error) {
	kind := "ok"
	if err != nil {
		kind = fleet.KindOf(err).String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("deckd_out_total{call=%q,kind=%q}", call, kind)).Inc()
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

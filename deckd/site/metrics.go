package site

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/VictoriaMetrics/metrics"
)

// metrics returns the metrics of the process in the Prometheus text format.
func (s *Site) metrics() (int, string) {
	var w strings.Builder
	v := s.view.Load()
	fmt.Fprintf(&w, "deckd_lead %d\n", boolToInt(v.leading))
	fmt.Fprintf(&w, "deckd_ready %d\n", boolToInt(s.Ready()))
	if v.term > 0 {
		fmt.Fprintf(&w, "deckd_lead_known{addr=%q} 1\n", v.addr)
	}
	if v.leading && !v.listReadAt.IsZero() {
		fmt.Fprintf(&w, "deckd_workers_list_age_seconds %.3f\n", time.Since(v.listReadAt).Seconds())
	}
	s.operator.writeMetrics(&w)
	s.writeLeadMetrics(&w)
	metrics.WritePrometheus(&w, true)
	return http.StatusOK, w.String()
}

// callSeconds returns the latency histogram of a kind of call by callers.
func callSeconds(call string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("deckd_call_seconds{call=%q}", call))
}

// callCount returns the counter of callers' calls with a given verdict.
func callCount(call string, v wire.Verdict) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("deckd_calls_total{call=%q,verdict=%q}", call, strings.ToLower(v.String())))
}

// outSeconds returns the latency histogram of a kind of outgoing call, to the
// store or to workers.
func outSeconds(call string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("deckd_out_seconds{call=%q}", call))
}

// outCount counts an outgoing call, to the store or to workers, by its outcome.
func outCount(call string, err error) {
	kind := "ok"
	if err != nil {
		kind = fleet.KindOf(err).String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("deckd_out_total{call=%q,kind=%q}", call, kind)).Inc()
}

func boolToInt(on bool) int {
	if on {
		return 1
	}
	return 0
}

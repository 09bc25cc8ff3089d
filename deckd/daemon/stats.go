package daemon

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// stats counts requests by outcome and measures the latency of answers.
type stats struct {
	answered *metrics.Counter
	latency  *metrics.Histogram
}

func newStats() *stats {
	return &stats{
		answered: metrics.GetOrCreateCounter(`deckd_requests_total{ran="yes"}`),
		latency:  metrics.GetOrCreateHistogram(`deckd_request_seconds`),
	}
}

func (s *stats) record(err error, took time.Duration) {
	if err == nil {
		s.answered.Inc()
		s.latency.Update(took.Seconds())
		return
	}
	r := toRefusal("call", err)
	metrics.GetOrCreateCounter(`deckd_requests_total{ran="` + string(r.Ran) + `"}`).Inc()
}

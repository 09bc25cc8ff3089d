package daemon

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// stats counts what became of requests.
type stats struct {
	answered *metrics.Counter
	took     *metrics.Histogram
}

func newStats() *stats {
	return &stats{
		answered: metrics.GetOrCreateCounter(`deckd_requests_total{ran="yes"}`),
		took:     metrics.GetOrCreateHistogram(`deckd_request_seconds`),
	}
}

func (s *stats) ended(err error, took time.Duration) {
	if err == nil {
		s.answered.Inc()
		s.took.Update(took.Seconds())
		return
	}
	r := refusal("call", err)
	metrics.GetOrCreateCounter(`deckd_requests_total{ran="` + string(r.Ran) + `"}`).Inc()
}

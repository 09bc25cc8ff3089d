package site

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// metrics returns the counters of the process as text.
func (s *Site) metrics() (int, string) {
	var w strings.Builder
	fmt.Fprintf(&w, "deckd_lead %d\n", bit(s.leading.Load()))
	fmt.Fprintf(&w, "deckd_ready %d\n", bit(s.Ready()))
	metrics.WritePrometheus(&w, true)
	return http.StatusOK, w.String()
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

package site

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"dragonflydeck.example/fleet/speed"
)

// writeSpeedClasses writes how many workers of each service are in each class of speed, in a fixed
// order.
func writeSpeedClasses(w io.Writer, services map[string]map[speed.Class]int) {
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for _, class := range slices.Sorted(maps.Keys(services[service])) {
			fmt.Fprintf(w, "deckd_worker_speed_classes{service=%q,class=%q} %d\n", service, class, services[service][class])
		}
	}
}

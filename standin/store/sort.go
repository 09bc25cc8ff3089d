package store

import (
	"maps"
	"slices"
)

// sortedAfter returns the keys greater than after, in sorted order.
func sortedAfter(all map[string]record, after string) []string {
	keys := slices.Sorted(maps.Keys(all))
	i, found := slices.BinarySearch(keys, after)
	if found {
		i++
	}
	return keys[i:]
}

package route

import "time"

// queue is a priority queue of waiting requests: by rank, then first in, first out.
type queue struct {
	ranks [Ranks][]Request
	count int
}

func (q *queue) len() int { return q.count }

func (q *queue) push(r Request) {
	rank := min(max(r.Rank, 0), Ranks-1)
	q.ranks[rank] = append(q.ranks[rank], r)
	q.count++
}

// countAhead counts the requests that would be served before a new one of this rank.
func (q *queue) countAhead(rank int) int {
	n := 0
	for i := 0; i <= min(max(rank, 0), Ranks-1); i++ {
		n += len(q.ranks[i])
	}
	return n
}

func (q *queue) head() (Request, bool) {
	for _, list := range q.ranks {
		if len(list) > 0 {
			return list[0], true
		}
	}
	return Request{}, false
}

func (q *queue) pop() {
	for i, list := range q.ranks {
		if len(list) > 0 {
			q.ranks[i] = list[1:]
			q.count--
			return
		}
	}
}

// removeLate removes and returns the requests that cannot be answered before
// their deadline any more, or have reached their longest wait.
func (q *queue) removeLate(now time.Time, margin time.Duration) []Request {
	return q.removeIf(func(r Request) bool {
		if !r.WaitUntil.IsZero() && now.After(r.WaitUntil) {
			return true
		}
		return r.Deadline.Before(now.Add(margin))
	})
}

func (q *queue) remove(id RequestID) {
	q.removeIf(func(r Request) bool { return r.ID == id })
}

func (q *queue) removeIf(match func(Request) bool) []Request {
	var removed []Request
	for i, list := range q.ranks {
		kept := list[:0]
		for _, r := range list {
			if match(r) {
				removed = append(removed, r)
				continue
			}
			kept = append(kept, r)
		}
		q.ranks[i] = kept
	}
	q.count -= len(removed)
	return removed
}

package route

import "time"

// queue holds waiting requests by rank, the oldest first.
type queue struct {
	ranks [Ranks][]Request
	n     int
}

func (q *queue) len() int { return q.n }

func (q *queue) push(r Request) {
	rank := min(max(r.Rank, 0), Ranks-1)
	q.ranks[rank] = append(q.ranks[rank], r)
	q.n++
}

// ahead counts the requests that go before a new one of this rank.
func (q *queue) ahead(rank int) int {
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
			q.n--
			return
		}
	}
}

// late removes and returns the requests that cannot be answered in time any
// more, or have waited as long as they may.
func (q *queue) late(now time.Time, service time.Duration) []Request {
	return q.filter(func(r Request) bool {
		if !r.Latest.IsZero() && now.After(r.Latest) {
			return true
		}
		return r.Until.Before(now.Add(service))
	})
}

func (q *queue) drop(id RequestID) {
	q.filter(func(r Request) bool { return r.ID == id })
}

func (q *queue) filter(out func(Request) bool) []Request {
	var gone []Request
	for i, list := range q.ranks {
		kept := list[:0]
		for _, r := range list {
			if out(r) {
				gone = append(gone, r)
				continue
			}
			kept = append(kept, r)
		}
		q.ranks[i] = kept
	}
	q.n -= len(gone)
	return gone
}

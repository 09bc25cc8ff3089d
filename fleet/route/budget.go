package route

// budget is a token bucket that limits retries to a ratio of the requests.
type budget struct {
	ratio  float64
	limit  float64
	tokens float64
}

func (b *budget) deposit() { b.tokens = min(b.tokens+b.ratio, b.limit) }

func (b *budget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ewmaWeight is the weight of the newest value in a moving average.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	n     int
}

func (e *ewma) add(x float64) {
	e.n++
	if e.n == 1 {
		e.value = x
		return
	}
	e.value += ewmaWeight * (x - e.value)
}

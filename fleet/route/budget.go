package route

// budget bounds retries to a share of the requests.
type budget struct {
	share float64
	burst float64
	have  float64
}

func (b *budget) earn() { b.have = min(b.have+b.share, b.burst) }

func (b *budget) spend() bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// smooth is the weight of the newest value in a moving average.
const smooth = 0.1

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
	e.value += smooth * (x - e.value)
}

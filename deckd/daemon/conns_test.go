package daemon

// conns counts the connections of one daemon to one runner. A call uses an idle
// connection or opens another one.
type conns struct{ open, busy int }

// connCounter counts connections by daemon and runner.
type connCounter struct {
	all     map[[2]string]*conns
	maxOpen int // highest number of connections to one runner, over all daemons
}

func (t *connCounter) begin(from, to string) *conns {
	k := [2]string{from, to}
	c := t.all[k]
	if c == nil {
		c = &conns{}
		t.all[k] = c
	}
	c.busy++
	c.open = max(c.open, c.busy)
	sum := 0
	for k, c := range t.all {
		if k[1] == to {
			sum += c.open
		}
	}
	t.maxOpen = max(t.maxOpen, sum)
	return c
}

func (t *connCounter) closeIdle(from, to string) {
	if c := t.all[[2]string{from, to}]; c != nil {
		c.open = c.busy
	}
}

// closeAll removes the connections of a daemon that is gone.
func (t *connCounter) closeAll(from string) {
	for k := range t.all {
		if k[0] == from {
			delete(t.all, k)
		}
	}
}

func (s *site) beginConn(from, to string) *conns {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead(from) {
		return &conns{}
	}
	return s.conns.begin(from, to)
}

func (s *site) endConn(c *conns) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy--
}

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Networks of the split case: each daemon listens on the first; the others hold the gateways by which
// the two sides of a link reach it.
const (
	netReal = iota
	netSideA
	netSideB
)

// sideA is the zone that is cut off.
const sideA = "za"

// split: the zone with the lead in it, which has most of the daemons, is cut off from the other zones and from
// the store. Meanwhile a machine is added in another zone.
func split(s *site, trouble bool) error {
	var cut partition
	s.view = func(d *daemon) view {
		if d.zone == sideA {
			return view{cut: cut.now, rewrite: s.addresses(netSideA)}
		}
		return view{rewrite: s.addresses(netSideB)}
	}
	zones := []string{"za", "zb", "zc"}
	for i, z := range []string{"za", "zb", "zc", "za", "za", "zb"} {
		d, err := s.addDaemon(fmt.Sprintf("edge-%s-%d", z, i+1), z, zones)
		if err != nil {
			return err
		}
		for _, side := range []int{netSideA, netSideB} {
			crosses := (d.zone == sideA) != (side == netSideA)
			if err := s.gateway(d, i+1, side, crosses, &cut); err != nil {
				return err
			}
		}
	}
	for i, z := range []string{"za", "za", "zb", "zc", "zc"} {
		r := &runner{id: fmt.Sprintf("i-%010d", i+1), zone: z, rack: "r-" + z, cpu: 32000, mem: 65536, gpu: 8, address: s.addr(netReal, 101+i, portRunner)}
		s.addRunner(r, func() bool { return r.zone != sideA || cut.now() == nil })
		for _, side := range []int{netSideA, netSideB} {
			h := http.Handler(r)
			if (r.zone == sideA) != (side == netSideA) {
				h = cutHandler(&cut, r)
			}
			if err := s.serve(s.addr(side, 101+i, portRunner), h); err != nil {
				return err
			}
		}
	}
	first, added := s.daemons[:5], s.daemons[5]
	for _, d := range first {
		if err := s.start(d); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !s.awaitReady(10*time.Second, first...) {
		return fmt.Errorf("%w: the daemons are not ready", errRun)
	}
	lead := leadOf(first)
	s.rec.notef("daemon %s leads", lead.name)
	if lead.zone != sideA {
		return fmt.Errorf("%w: the lead is in zone %s", errRun, lead.zone)
	}
	time.Sleep(2 * time.Second) // until all runners are known
	ids := []string{"00000000000000a1", "00000000000000a2"}
	for _, id := range ids {
		if !s.submit(first, 4, id, job(need{Ms: 45000}, 1, 30000, 60000, 8)) {
			return fmt.Errorf("%w: job %s was not accepted", errRun, id)
		}
	}
	if !await(3*time.Second, func() bool { return s.aud.atWork(ids[0]) == 1 && s.aud.atWork(ids[1]) == 1 }) {
		return fmt.Errorf("%w: the tasks did not start", errRun)
	}
	time.Sleep(time.Second)
	if trouble {
		s.rec.notef("zone %s is cut off from the other zones and from the store", sideA)
		cut.cut()
	}
	time.Sleep(2 * time.Second)
	s.rec.notef("a machine is added in zone %s", added.zone)
	if err := s.start(added); err != nil {
		return err
	}
	time.Sleep(16 * time.Second)
	if trouble {
		s.rec.notef("the cut ends")
		cut.heal()
	}
	if !await(60*time.Second, func() bool {
		return s.state(s.daemons, ids[0]) == "completed" && s.state(s.daemons, ids[1]) == "completed"
	}) {
		s.rec.notef("a job is not completed in time")
	}
	return nil
}

// leadOf returns the daemon that took the lead last.
func leadOf(list []*daemon) *daemon {
	var lead *daemon
	newest := ""
	for _, d := range list {
		for _, l := range d.lines(`"event":"lead-taken"`) {
			if at := l[:min(len(l), 40)]; at > newest {
				newest, lead = at, d
			}
		}
	}
	return lead
}

// addresses puts the gateways of one side into a value of the store, which has the addresses at which
// daemons and runners listen.
func (s *site) addresses(side int) func([]byte) []byte {
	real, gateway := []byte(fmt.Sprintf("127.%d.0.", s.net+netReal)), []byte(fmt.Sprintf("127.%d.0.", s.net+side))
	return func(b []byte) []byte { return bytes.ReplaceAll(b, real, gateway) }
}

func cutHandler(cut *partition, h http.Handler) http.Handler {
	v := view{cut: cut.now}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.wait()
		h.ServeHTTP(w, r)
		v.wait()
	})
}

// gateway forwards the calls and heartbeats of one side to a daemon. One that crosses the link between the sides
// forwards nothing while it is cut.
func (s *site) gateway(d *daemon, host, side int, crosses bool, cut *partition) error {
	now := func() <-chan struct{} {
		if !crosses {
			return nil
		}
		return cut.now()
	}
	at, to := s.addr(side, host, portPeer), s.addr(netReal, host, portPeer)
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go forward(c, to, now)
		}
	}()
	packets, err := net.ListenPacket("udp", at)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return err
	}
	receiver := netSideB
	if d.zone == sideA {
		receiver = netSideA
	}
	rewrite := s.addresses(receiver)
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := packets.ReadFrom(buf)
			if err != nil {
				return
			}
			if now() == nil {
				_, _ = packets.WriteTo(rewrite(buf[:n]), target)
			}
		}
	}()
	return nil
}

// forward joins a connection with one to an address. Data that arrives while the link is cut is held, and the
// connection ends with the cut.
func forward(c net.Conn, to string, now func() <-chan struct{}) {
	defer c.Close()
	if end := now(); end != nil {
		<-end
		return
	}
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	pipe := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if end := now(); end != nil {
				<-end
				return
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(c, d)
	go pipe(d, c)
	<-done
}

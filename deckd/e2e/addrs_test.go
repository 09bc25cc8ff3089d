package e2e

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	lowPort   = 10000
	ephemeral = 32768 // the lowest port that Linux hands out of itself by default
)

var lastPort atomic.Int32 // of this process, counted from lowPort

// freeAddr gives an address for a program to listen on. Its IP number is a
// loopback one that belongs to this test process, and its port is one that no
// outgoing connection gets.
func freeAddr(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	for {
		port := lowPort + int(lastPort.Add(1))
		if port >= ephemeral {
			t.Fatal("no port is left")
		}
		addr := net.JoinHostPort(ip.String(), fmt.Sprint(port))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // a listener on all IP numbers has the port
		}
		_ = ln.Close()
		return addr
	}
}

// TestAddressesAreNeverGivenOutByTheKernel is the case of a platform that could
// not listen, as a connection of another process had been given its port.
func TestAddressesAreNeverGivenOutByTheKernel(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		a := freeAddr(t)
		qt.Assert(t, seen[a], qt.IsFalse, qt.Commentf("%s twice", a))
		seen[a] = true
		at, err := netip.ParseAddrPort(a)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, at.Port() < ephemeral, qt.IsTrue, qt.Commentf("%s may be taken by any connection", a))
	}
}

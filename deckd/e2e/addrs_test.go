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
	lowPort            = 10000
	firstEphemeralPort = 32768 // lowest port that Linux assigns to outgoing connections by default
)

var lastPort atomic.Int32 // last port given out by this process, as an offset from lowPort

// freeAddr returns an address for a program to listen on. Its IP address is a
// loopback address derived from the id of this process, and its port is below the
// range that outgoing connections use.
func freeAddr(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	for {
		port := lowPort + int(lastPort.Add(1))
		if port >= firstEphemeralPort {
			t.Fatal("no free port is left")
		}
		addr := net.JoinHostPort(ip.String(), fmt.Sprint(port))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue // something listens on this port on all addresses
		}
		_ = ln.Close()
		return addr
	}
}

// Guards against a stand-in platform that cannot listen because the kernel has
// assigned its port to an outgoing connection of another process.
func TestAddressesAreNeverGivenOutByTheKernel(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		a := freeAddr(t)
		qt.Assert(t, seen[a], qt.IsFalse, qt.Commentf("%s was returned twice", a))
		seen[a] = true
		at, err := netip.ParseAddrPort(a)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, at.Port() < firstEphemeralPort, qt.IsTrue, qt.Commentf("%s may be assigned to an outgoing connection", a))
	}
}

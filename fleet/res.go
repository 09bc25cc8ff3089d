package fleet

import (
	"fmt"
	"strings"

	"dragonflydeck.example/fleet/wire"
)

// Millicores counts thousandths of a processor core.
type Millicores int64

// Bytes counts bytes.
type Bytes int64

// Mebibytes counts memory in units of 2^20 bytes.
type Mebibytes int64

// Accels counts whole accelerators.
type Accels int64

// Res is an amount of each resource of a worker.
type Res struct {
	Cores  Millicores
	Mem    Mebibytes
	Accels Accels
}

// ResOf converts from the wire form; nil converts to the zero Res.
func ResOf(r *wire.Res) Res {
	return Res{Millicores(r.GetCores()), Mebibytes(r.GetMem()), Accels(r.GetAccels())}
}

// Wire converts r to its wire form.
func (r Res) Wire() *wire.Res {
	return &wire.Res{Cores: int64(r.Cores), Mem: int64(r.Mem), Accels: int64(r.Accels)}
}

// Add returns r+o.
func (r Res) Add(o Res) Res {
	return Res{r.Cores + o.Cores, r.Mem + o.Mem, r.Accels + o.Accels}
}

// Sub returns r-o.
func (r Res) Sub(o Res) Res {
	return Res{r.Cores - o.Cores, r.Mem - o.Mem, r.Accels - o.Accels}
}

// Times returns r multiplied by n.
func (r Res) Times(n int) Res {
	return Res{r.Cores * Millicores(n), r.Mem * Mebibytes(n), r.Accels * Accels(n)}
}

// Fits reports whether free has enough of every resource for r.
func (r Res) Fits(free Res) bool {
	return r.Cores <= free.Cores && r.Mem <= free.Mem && r.Accels <= free.Accels
}

// Zero reports whether every resource is zero.
func (r Res) Zero() bool { return r == Res{} }

// Negative reports whether any resource is negative.
func (r Res) Negative() bool { return r.Cores < 0 || r.Mem < 0 || r.Accels < 0 }

// Count returns how many times r can hold each, at most 2^30.
func (r Res) Count(each Res) int {
	n := int64(1 << 30)
	n = capCount(n, int64(r.Cores), int64(each.Cores))
	n = capCount(n, int64(r.Mem), int64(each.Mem))
	n = capCount(n, int64(r.Accels), int64(each.Accels))
	return int(max(n, 0))
}

// DominantShare returns the largest fraction that r takes of any resource of total.
func (r Res) DominantShare(total Res) float64 {
	s := fraction(int64(r.Cores), int64(total.Cores))
	s = max(s, fraction(int64(r.Mem), int64(total.Mem)))
	return max(s, fraction(int64(r.Accels), int64(total.Accels)))
}

// Lacks lists how much of each resource free is short of to hold r.
func (r Res) Lacks(free Res) string {
	var lacks []string
	if r.Cores > free.Cores {
		lacks = append(lacks, fmt.Sprintf("%d millicores", r.Cores-free.Cores))
	}
	if r.Mem > free.Mem {
		lacks = append(lacks, fmt.Sprintf("%d MiB", r.Mem-free.Mem))
	}
	if r.Accels > free.Accels {
		lacks = append(lacks, fmt.Sprintf("%d accelerators", r.Accels-free.Accels))
	}
	return strings.Join(lacks, ", ")
}

// String returns r in human-readable form.
func (r Res) String() string {
	return fmt.Sprintf("%dm cores, %d MiB, %d accelerators", r.Cores, r.Mem, r.Accels)
}

func capCount(n, have, each int64) int64 {
	if each <= 0 {
		return n
	}
	return min(n, have/each)
}

func fraction(have, total int64) float64 {
	if have <= 0 {
		return 0
	}
	if total <= 0 {
		return 1
	}
	return float64(have) / float64(total)
}

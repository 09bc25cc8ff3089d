package fleet

import (
	"fmt"
	"strings"

	"dragonflydeck.example/fleet/wire"
)

// Millicores counts thousandths of a processor core.
type Millicores int64

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

// ResOf converts the wire form; nil is no resource.
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

// Fits reports whether r is no larger than room in any resource.
func (r Res) Fits(room Res) bool {
	return r.Cores <= room.Cores && r.Mem <= room.Mem && r.Accels <= room.Accels
}

// Zero reports whether r is no resource at all.
func (r Res) Zero() bool { return r == Res{} }

// Negative reports whether any resource is below zero.
func (r Res) Negative() bool { return r.Cores < 0 || r.Mem < 0 || r.Accels < 0 }

// Count returns how many times each fits into r.
func (r Res) Count(each Res) int {
	n := int64(1 << 30)
	n = lower(n, int64(r.Cores), int64(each.Cores))
	n = lower(n, int64(r.Mem), int64(each.Mem))
	n = lower(n, int64(r.Accels), int64(each.Accels))
	return int(max(n, 0))
}

// Share returns the largest part that r takes of any resource of total.
func (r Res) Share(total Res) float64 {
	s := part(int64(r.Cores), int64(total.Cores))
	s = max(s, part(int64(r.Mem), int64(total.Mem)))
	return max(s, part(int64(r.Accels), int64(total.Accels)))
}

// Lacks names the resources in which room is too small for r.
func (r Res) Lacks(room Res) string {
	var lacks []string
	if r.Cores > room.Cores {
		lacks = append(lacks, fmt.Sprintf("%d millicores", r.Cores-room.Cores))
	}
	if r.Mem > room.Mem {
		lacks = append(lacks, fmt.Sprintf("%d MiB", r.Mem-room.Mem))
	}
	if r.Accels > room.Accels {
		lacks = append(lacks, fmt.Sprintf("%d accelerators", r.Accels-room.Accels))
	}
	return strings.Join(lacks, ", ")
}

// String returns r for people.
func (r Res) String() string {
	return fmt.Sprintf("%dm cores, %d MiB, %d accelerators", r.Cores, r.Mem, r.Accels)
}

func lower(n, have, each int64) int64 {
	if each <= 0 {
		return n
	}
	return min(n, have/each)
}

func part(have, total int64) float64 {
	if have <= 0 {
		return 0
	}
	if total <= 0 {
		return 1
	}
	return float64(have) / float64(total)
}

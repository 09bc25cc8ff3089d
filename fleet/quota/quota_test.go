package quota_test

import (
	"fmt"
	"math"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/quota"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func ExampleLimit_Room() {
	l := quota.Limit{Cap: fleet.Res{Accels: 20}}
	fmt.Println(l.Room(fleet.Res{Accels: 13, Cores: 90_000}, fleet.Res{Accels: 2, Cores: 4000}))
	// Output: 3
}

func ExampleLimit_Describe() {
	l := quota.Limit{Cap: fleet.Res{Accels: 383, Mem: 4096}}
	fmt.Println(l.Describe(fleet.Res{Accels: 400, Cores: 1000, Mem: 2048}))
	// Output: 383 accelerators, and 400 are needed
}

func ExampleShares() {
	s := quota.NewShares(fleet.Res{Cores: 64_000, Accels: 32})
	s.Join("orders", quota.Limit{Weight: 3})
	s.Join("reports", quota.Limit{})
	fmt.Println(s.Fraction("orders"), s.Fraction("reports"))
	fmt.Println(s.Beyond("reports", fleet.Res{Accels: 7}), s.Beyond("reports", fleet.Res{Cores: 16_000}))
	// Output:
	// 0.75 0.25
	// false true
}

// A zero field means no limit, and must not count as a cap of nothing.
func TestZeroFieldsAreNoLimit(t *testing.T) {
	l := quota.Limit{Cap: fleet.Res{Cores: 1000}}
	much := fleet.Res{Accels: 1 << 30, Mem: 1 << 40}
	qt.Assert(t, l.Room(much, fleet.Res{Cores: 500, Accels: 8}), qt.Equals, 2)
	qt.Assert(t, l.Exceeded(much), qt.IsFalse)
	qt.Assert(t, quota.Limit{}.Capped(), qt.IsFalse)
}

// A workspace above a lowered cap has no room, also for tasks that need nothing of what is
// exceeded.
func TestNothingFitsAboveTheCap(t *testing.T) {
	l := quota.Limit{Cap: fleet.Res{Accels: 8, Mem: 4096}}
	used := fleet.Res{Accels: 9}
	qt.Assert(t, l.Room(used, fleet.Res{Accels: 1}), qt.Equals, 0)
	qt.Assert(t, l.Excess(used), qt.Equals, fleet.Res{Accels: 1})
	qt.Assert(t, l.Room(used, fleet.Res{Mem: 1024}), qt.Equals, 0)
}

// An invalid limit must be named, or the operator has to search the configuration for it.
func TestCheckNamesTheInvalidField(t *testing.T) {
	for want, l := range map[string]quota.Limit{
		"check limit: the weight is -1":              {Weight: -1},
		"check limit: the weight is NaN":             {Weight: math.NaN()},
		"check limit: the cap of accelerators is -8": {Cap: fleet.Res{Accels: -8}},
		"check limit: the cap of cores is -1":        {Cap: fleet.Res{Cores: -1}},
		"check limit: the cap of memory is -1":       {Cap: fleet.Res{Mem: -1}},
	} {
		qt.Check(t, l.Check(), qt.ErrorMatches, want)
	}
	qt.Check(t, quota.Limit{Cap: fleet.Res{Accels: 8}, Weight: 0.5}.Check(), qt.IsNil)
}

// What runs take and return must leave nothing behind, or a workspace loses a part of its
// cap for good.
func TestLedgerIsEmptyOnceAllIsReleased(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type entry struct {
			space   fleet.SpaceID
			service string
			res     fleet.Res
		}
		l := quota.NewLedger()
		sums := map[fleet.SpaceID]fleet.Res{}
		var all []entry
		for range rapid.IntRange(0, 30).Draw(r, "runs") {
			e := entry{
				fleet.SpaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "space")), rapid.SampledFrom([]string{"x", "y"}).Draw(r, "service"),
				fleet.Res{Cores: fleet.Millicores(rapid.IntRange(0, 9).Draw(r, "cores")), Accels: fleet.Accels(rapid.IntRange(0, 8).Draw(r, "accels"))},
			}
			all = append(all, e)
			l.Take(e.space, e.service, e.res)
			sums[e.space] = sums[e.space].Add(e.res)
		}
		for space, sum := range sums {
			qt.Assert(t, l.Used(space), qt.Equals, sum)
			qt.Assert(t, l.UsedOf(space, "x").Add(l.UsedOf(space, "y")), qt.Equals, sum)
		}
		for _, i := range rapid.Permutation(all).Draw(r, "order") {
			l.Release(i.space, i.service, i.res)
		}
		qt.Assert(t, l.Spaces(), qt.HasLen, 0)
		qt.Assert(t, l.Active("x"), qt.HasLen, 0)
	})
}

package mirror_test

import (
	"fmt"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/mirror"
	qt "github.com/frankban/quicktest"
)

// Guards against review/2: a removal whose record has expired is only told by the key's
// absence from a listing.
func TestKeyThatIsNotListedIsRemoved(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Update{End: 2, Records: []fleet.Record{{Key: "out/a", Value: []byte("x"), Offset: 0}, {Key: "out/b", Value: []byte("x"), Offset: 1}}})
	qt.Assert(t, m.Apply(mirror.Update{End: 3, Whole: true, Records: []fleet.Record{{Key: "out/b", Value: []byte("x"), Offset: 1}}}), qt.IsTrue)
	qt.Check(t, live(m), qt.DeepEquals, map[string]string{"out/b": "x"})
}

// A listing that was on its way while newer records came must not undo them.
func TestOlderListingChangesNothing(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Update{End: 3, Records: []fleet.Record{{Key: "a", Value: []byte("2"), Offset: 2}}})
	qt.Check(t, m.Apply(mirror.Update{End: 2, Whole: true}), qt.IsFalse)
	qt.Check(t, live(m), qt.DeepEquals, map[string]string{"a": "2"})
}

// An answer that was on its way while a listing came must not bring back a removed key.
func TestOlderAnswerBringsNoKeyBack(t *testing.T) {
	m := mirror.New()
	m.Apply(mirror.Update{End: 5, Whole: true})
	qt.Check(t, m.Apply(mirror.Update{End: 4, Records: []fleet.Record{{Key: "a", Value: []byte("1"), Offset: 3}}}), qt.IsFalse)
	qt.Check(t, live(m), qt.HasLen, 0)
}

// A daemon that asks from before the listing of its peer gets all keys, else what is new,
// with what was removed.
func ExampleMirror_Since() {
	m := mirror.New()
	m.Apply(mirror.Update{End: 3, Whole: true, Records: []fleet.Record{{Key: "config", Value: []byte("v1"), Offset: 0}}})
	m.Apply(mirror.Update{End: 5, Records: []fleet.Record{{Key: "config", Value: []byte("v2"), Offset: 3}, {Key: "out/a", Offset: 4}}})
	for _, end := range []fleet.Offset{2, 3, 5} {
		u := m.Since(end)
		fmt.Printf("from %d: whole=%t", end, u.Whole)
		for _, r := range u.Records {
			fmt.Printf(" %s=%q", r.Key, r.Value)
		}
		fmt.Println()
	}
	// Output:
	// from 2: whole=true config="v2"
	// from 3: whole=false config="v2" out/a=""
	// from 5: whole=false
}

// live returns the values of the keys that a copy holds.
func live(m *mirror.Mirror) map[string]string {
	out := map[string]string{}
	for key, r := range m.Records() {
		if len(r.Value) > 0 {
			out[key] = string(r.Value)
		}
	}
	return out
}

package queue_test

import (
	"fmt"
	"testing"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/queue"
	qt "github.com/frankban/quicktest"
)

func config() *queue.Config {
	return queue.New(queue.Config{
		Version: 3,
		Queues: []queue.Queue{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "jobs", Host: "a.example", Prefix: "/jobs/"},
			{Name: "other", Host: "b.example", Prefix: "/jobs/"},
		},
		Spaces: []queue.Space{{Name: "s", Keys: []string{"k1", "k2"}, Accels: 16}},
	})
}

func ExampleConfig_Match() {
	q, rest := config().Match("A.example:8080", "/jobs/17")
	fmt.Println(q.Name, rest)
	// Output: jobs 17
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/jobs/1", "jobs"},
		{"a.example", "/jobs", "all"},
		{"b.example", "/jobs/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/jobs/1", ""},
	} {
		q, _ := config().Match(c.host, c.path)
		name := ""
		if q != nil {
			name = q.Name
		}
		qt.Check(t, name, qt.Equals, c.want, qt.Commentf("%s%s", c.host, c.path))
	}
}

func TestKeysAndGuarantees(t *testing.T) {
	c := config()
	space, ok := c.SpaceOf("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.Guaranteed(space), qt.Equals, fleet.Accels(16))
	_, ok = c.SpaceOf("")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, c.Guaranteed("nobody"), qt.Equals, fleet.Accels(0))
	var none *queue.Config
	qt.Assert(t, none.Queue("jobs"), qt.IsNil)
}

// Calls know a queue by its address, so that one there takes the place of a queue whose name is gone.
func TestQueueThatTakesThePlaceOfAnother(t *testing.T) {
	c := config()
	for _, a := range []struct{ name, address, want string }{
		{"jobs", "a.example/jobs/", "jobs"},
		{"gone", "a.example/jobs/", "jobs"},
		{"other", "a.example/jobs/", "jobs"},
		{"other", "a.example/gone/", "other"},
		{"gone", "a.example/gone/", "all"},
		{"gone", "c.example/", ""},
		{"jobs", "", "jobs"},
	} {
		name := ""
		if q := c.Now(a.name, a.address); q != nil {
			name = q.Name
		}
		qt.Check(t, name, qt.Equals, a.want, qt.Commentf("%s at %s", a.name, a.address))
	}
}

func TestOwnersOfKeysAreKnownByTheirMarks(t *testing.T) {
	c := config()
	owner, ok := c.OwnerOf(queue.MarkOf("k2"))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, owner, qt.Equals, fleet.SpaceID("s"))
	qt.Check(t, queue.MarkOf("k1") == queue.MarkOf("k2"), qt.IsFalse)
	qt.Check(t, queue.MarkOf(""), qt.Equals, fleet.KeyMark(0))
	_, ok = c.OwnerOf(0)
	qt.Check(t, ok, qt.IsFalse)
}

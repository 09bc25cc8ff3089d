package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, string(want), qt.Commentf(name))
}

// TestTables covers both the tables for people and the JSON for scripts.
func TestTables(t *testing.T) {
	space := &wire.Space{
		Name: "orders", Rev: 7, Shapes: []*wire.Shape{{Count: 2, Tasks: 8, Each: &wire.Res{Cores: 1000, Mem: 2048, Accels: 1}}},
		Homes: []*wire.Home{{Domain: "d1", Count: 1}, {Domain: "d2", Count: 1}},
	}
	job := &wire.Job{
		Spec: &wire.Spec{Id: "plan-7", Space: "orders", Tasks: 8}, Phase: wire.Phase_PLACED, Home: "d1", Attempt: 2,
		Parts: []*wire.Part{{Worker: "w1", Tasks: 4}, {Worker: "w2", Tasks: 4}}, Since: 1_800_000_000_000, Why: "on the guarantee of orders",
	}
	domain := &wire.Domain{Name: "d1", Out: true, Drain: wire.Drain_MOVE, Rev: 9, Lead: "e1", Term: 3, Since: 1_800_000_000_000, Why: "power work"}
	note := &wire.Note{At: 1_800_000_000_000, Code: 302, Host: "e1", About: "plan-7", Text: "attempt 2 on w1:4 w2:4", Offset: 12}
	for _, c := range []struct {
		name, header string
		reply        proto.Message
		rows         [][]string
	}{
		{"spaces", spaceHeader, &wire.SpacesReply{Spaces: []*wire.Space{space}}, [][]string{spaceRow(space)}},
		{"jobs", jobHeader, &wire.JobsReply{Jobs: []*wire.Job{job}}, [][]string{jobRow(job)}},
		{"domains", domainHeader, &wire.DomainsReply{Domains: []*wire.Domain{domain}}, [][]string{domainRow(domain)}},
		{"notes", noteHeader, &wire.ExplainReply{Notes: []*wire.Note{note}}, noteRows([]*wire.Note{note})},
	} {
		out := &bytes.Buffer{}
		a := &app{out: out}
		qt.Assert(t, a.print(c.reply, c.header, c.rows), qt.IsNil)
		a.settings.JSON = true
		table := out.String()
		out.Reset()
		qt.Assert(t, a.print(c.reply, c.header, c.rows), qt.IsNil)
		json := strings.ReplaceAll(out.String(), " ", "") // the encoder varies its spaces at random
		golden(t, c.name, table+json)
	}
}

func TestHelp(t *testing.T) {
	for _, command := range []string{"", "space set", "job submit", "request", "domain out", "flow spaces", "flow workers"} {
		out := &bytes.Buffer{}
		status := Main(append(strings.Fields(command), "--help"), out, out)
		qt.Check(t, status, qt.Equals, exitOK)
		golden(t, "help"+strings.ReplaceAll(" "+command, " ", "-"), out.String())
	}
}

func TestExitStatuses(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{refuse.NotRun("call", twirp.ResourceExhausted, 0, "full"), exitNotRun},
		{refuse.MayHaveRun("call", 0, "lost"), exitUnknown},
		{exitError{refuse.MayHaveRun("wait", 0, "ended"), exitEnded}, exitEnded},
	} {
		qt.Check(t, exitStatus(c.err), qt.Equals, c.want)
	}
	for _, command := range []string{
		"space set a --shape nonsense", "space set a --shape 1x2:1,2", "job submit a --each 1", "domain out d --drain sideways", "nothing", "--limit 0s health",
		"request x --tries 0", "request x --count 0", "request x --parallel 0",
	} {
		out := &bytes.Buffer{}
		qt.Check(t, Main(strings.Fields(command), out, out), qt.Equals, exitUsage, qt.Commentf("%s: %s", command, out))
		qt.Check(t, strings.Count(out.String(), "\n"), qt.Equals, 1, qt.Commentf("%s", out))
	}
	out := &bytes.Buffer{}
	qt.Check(t, Main([]string{"--addr", "127.0.0.1:1", "health"}, out, out), qt.Equals, exitNotRun)
	qt.Check(t, out.String(), qt.Contains, "no entry host can be reached")
}

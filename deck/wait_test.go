package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"
)

// desk is a daemon that answers questions about jobs with errors.
type desk struct {
	wire.Desk
	errs []error // in turn, then the last one
}

func (d *desk) Jobs(context.Context, *wire.JobsAsk) (*wire.JobsReply, error) {
	err := d.errs[0]
	if len(d.errs) > 1 {
		d.errs = d.errs[1:]
	}
	if err == nil {
		return &wire.JobsReply{Jobs: []*wire.Job{{Spec: &wire.Spec{Id: "j"}, Phase: wire.Phase_DONE}}}, nil
	}
	return nil, err
}

// Waiting for a job ends at once if the answer cannot get better, and goes on
// after failures that pass.
func TestWaitEndsWithAnErrorThatCannotGetBetter(t *testing.T) {
	gone := refuse.NotRun("jobs", twirp.NotFound, 0, "job %q does not exist", "j").Twirp()
	busy := refuse.NotRun("jobs", twirp.Unavailable, time.Second, "no lead").Twirp()
	for _, c := range []struct {
		errs []error
		want int
		says string
	}{
		{[]error{gone}, exitNotRun, `job "j" does not exist`},
		{[]error{busy, nil}, 0, "done"},
	} {
		server := httptest.NewServer(wire.NewDeskServer(&desk{errs: c.errs}))
		out := &bytes.Buffer{}
		addr := strings.TrimPrefix(server.URL, "http://")
		status := Main([]string{"--addr", addr, "job", "wait", "j", "--most", "5s"}, out, out)
		server.Close()
		qt.Check(t, status, qt.Equals, c.want, qt.Commentf("%s", out))
		qt.Check(t, out.String(), qt.Contains, c.says)
	}
}

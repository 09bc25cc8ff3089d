package daemon

import (
	"context"
	"sort"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/core"
	"dragonflydeck.example/fleet/home"
	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// MaxGangTasks is the largest number of tasks in a gang.
const MaxGangTasks = 64

// Submit accepts a job once it is in the log. Submitting the same job again
// returns the same answer.
func (d *desk) Submit(ctx context.Context, ask *wire.SubmitAsk) (*wire.SubmitReply, error) {
	spec := proto.CloneOf(ask.GetSpec())
	if spec == nil {
		return nil, twirp.RequiredArgumentError("spec")
	}
	spec.Id = idOrNew(spec.Id)
	if err := checkSpec(spec); err != nil {
		return nil, toTwirp("submit", err)
	}
	if j := d.job(ctx, spec.Id); j != nil {
		return answerResubmit(j, spec)
	}
	err := d.commit(ctx, "submit", func(c *core.Core) (*wire.Entry, error) { return submitEntry(c, spec) })
	j := d.job(ctx, spec.Id)
	if err != nil && (j == nil || !proto.Equal(j.Spec, spec)) {
		return nil, toTwirp("submit", err)
	}
	return &wire.SubmitReply{Job: j, Kept: true}, nil
}

func answerResubmit(j *wire.Job, spec *wire.Spec) (*wire.SubmitReply, error) {
	if proto.Equal(j.Spec, spec) {
		return &wire.SubmitReply{Job: j, Kept: true}, nil
	}
	return nil, refuse.NotRun("submit", twirp.AlreadyExists, 0, "another job already has the id %s", spec.Id).Twirp()
}

func checkSpec(s *wire.Spec) error {
	if err := checkName("job", s.Id); err != nil {
		return err
	}
	if err := checkName("workspace", s.Space); err != nil {
		return err
	}
	each := fleet.ResOf(s.Each)
	switch {
	case s.Tasks < 1 || s.Tasks > MaxGangTasks:
		return refuse.NotRun("check job", twirp.InvalidArgument, 0, "tasks is %d; 1 to %d are allowed", s.Tasks, MaxGangTasks)
	case each.Zero() || each.Negative():
		return refuse.NotRun("check job", twirp.InvalidArgument, 0, "each is %s; a task needs at least one resource and none may be negative", each)
	case s.Span < 0:
		return refuse.NotRun("check job", twirp.InvalidArgument, 0, "span is %d ms; it must not be negative", s.Span)
	}
	return nil
}

func submitEntry(c *core.Core, spec *wire.Spec) (*wire.Entry, error) {
	if c.Board.State.Spaces[fleet.SpaceID(spec.Space)] == nil {
		return nil, refuse.NotRun("submit", twirp.NotFound, 0, "no workspace %s", spec.Space)
	}
	if c.Board.Log.Down {
		return nil, refuse.NotRun("submit", twirp.Unavailable, CommitTimeout, "the log does not answer, so the job cannot be recorded")
	}
	domain, err := home.Choose(c.Board, spec)
	if err != nil {
		return nil, homeRefusal(err)
	}
	return &wire.Entry{Id: "submit/" + spec.Id, Kind: &wire.Entry_Submit{Submit: &wire.Submit{Spec: spec, Home: string(domain)}}}, nil
}

func homeRefusal(err error) error {
	homeErr, ok := err.(*home.Error)
	if ok && homeErr.Kind == home.Infeasible {
		return refuse.NotRun("submit", twirp.FailedPrecondition, 0, "%s", homeErr.Text)
	}
	return refuse.NotRun("submit", twirp.Unavailable, CommitTimeout, "%v", err)
}

// Cancel cancels a job and stops it if it is running.
func (d *desk) Cancel(ctx context.Context, ask *wire.CancelAsk) (*wire.CancelReply, error) {
	if err := checkName("job", ask.Job); err != nil {
		return nil, toTwirp("cancel", err)
	}
	err := d.commit(ctx, "cancel", func(c *core.Core) (*wire.Entry, error) {
		if c.Board.State.Jobs[fleet.JobID(ask.Job)] == nil {
			return nil, refuse.NotRun("cancel", twirp.NotFound, 0, "no job %s", ask.Job)
		}
		return &wire.Entry{Id: "cancel/" + ask.Job, Kind: &wire.Entry_Cancel{Cancel: &wire.Cancel{Job: ask.Job, Why: ask.Why}}}, nil
	})
	if err != nil {
		return nil, toTwirp("cancel", err)
	}
	return &wire.CancelReply{Job: d.job(ctx, ask.Job)}, nil
}

func (d *desk) job(ctx context.Context, id string) *wire.Job {
	var j *wire.Job
	_ = d.loop.do(ctx, "read job", func(c *core.Core) {
		if have := c.Board.State.Jobs[fleet.JobID(id)]; have != nil {
			j = proto.CloneOf(have)
		}
	})
	return j
}

// Jobs lists one job, the jobs of a workspace, or all jobs.
func (d *desk) Jobs(ctx context.Context, ask *wire.JobsAsk) (*wire.JobsReply, error) {
	reply := &wire.JobsReply{}
	err := d.read(ctx, "list jobs", func(c *core.Core) {
		for id, j := range c.Board.State.Jobs {
			if ask.Job != "" && string(id) != ask.Job || ask.Space != "" && j.Spec.Space != ask.Space {
				continue
			}
			out := proto.CloneOf(j)
			if why := c.Gangs.Why(id); why != "" {
				out.Why = why
			}
			reply.Jobs = append(reply.Jobs, out)
		}
	})
	if err == nil && ask.Job != "" && len(reply.Jobs) == 0 {
		return nil, refuse.NotRun("list jobs", twirp.NotFound, 0, "no job %s", ask.Job).Twirp()
	}
	sort.Slice(reply.Jobs, func(a, b int) bool { return begunBefore(reply.Jobs[a], reply.Jobs[b]) })
	return reply, err
}

func begunBefore(a, b *wire.Job) bool {
	if a.Begun != b.Begun {
		return a.Begun < b.Begun
	}
	return a.Spec.Id < b.Spec.Id
}

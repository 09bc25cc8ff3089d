package main

import (
	"fmt"
	"strconv"
	"time"

	"dragonflydeck.example/fleet/refuse"
	"dragonflydeck.example/fleet/wire"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"
)

// waitPollInterval is how often waitJob asks for the state of the job.
const waitPollInterval = 200 * time.Millisecond

// cmdJob submits, shows, cancels and waits for jobs.
func cmdJob(a *app) *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Submit, show, cancel and wait for jobs"}
	cmd.AddCommand(cmdJobSubmit(a), cmdJobStatus(a), cmdJobList(a), cmdJobCancel(a), cmdJobWait(a))
	return cmd
}

func cmdJobSubmit(a *app) *cobra.Command {
	var id, each string
	var tasks int32
	var span time.Duration
	var urgent bool
	cmd := &cobra.Command{
		Use:   "submit WORKSPACE",
		Short: "Submit a gang of identical tasks; repeating it with the same id is safe",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			res, err := parseRes(each)
			if err != nil {
				return exitError{err, exitUsage}
			}
			if id == "" {
				id = uuid.NewString()
			}
			spec := &wire.Spec{Id: id, Space: args[0], Tasks: tasks, Each: res, Span: span.Milliseconds(), Urgent: urgent}
			r, err := callDesk(a, "submit "+id, &wire.SubmitAsk{Spec: spec}, wire.Desk.Submit)
			if err != nil {
				return err
			}
			return a.print(r, jobHeader, [][]string{jobRow(r.Job)})
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the job; generated if empty")
	cmd.Flags().Int32Var(&tasks, "tasks", 1, "number of tasks in the gang")
	cmd.Flags().StringVar(&each, "each", "1000,1024,0", "CORES,MEM,ACCELS of each task: thousandths of a core, MiB, accelerators")
	cmd.Flags().DurationVar(&span, "span", time.Hour, "expected run time")
	cmd.Flags().BoolVar(&urgent, "urgent", false, "place before all jobs that are not urgent")
	return cmd
}

func cmdJobStatus(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "status JOB",
		Short: "Show a job and the reason for its state",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return printJobs(a, &wire.JobsAsk{Job: args[0]})
		},
	}
}

func cmdJobList(a *app) *cobra.Command {
	var space string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List jobs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return printJobs(a, &wire.JobsAsk{Space: space})
		},
	}
	cmd.Flags().StringVar(&space, "space", "", "only jobs of this workspace")
	return cmd
}

func printJobs(a *app, q *wire.JobsAsk) error {
	r, err := callDesk(a, "list jobs", q, wire.Desk.Jobs)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, j := range r.Jobs {
		rows = append(rows, jobRow(j))
	}
	return a.print(r, jobHeader, rows)
}

func cmdJobCancel(a *app) *cobra.Command {
	var why string
	cmd := &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job, stopping it if it runs",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := callDesk(a, "cancel", &wire.CancelAsk{Job: args[0], Why: why}, wire.Desk.Cancel)
			if err != nil {
				return err
			}
			return a.print(r, jobHeader, [][]string{jobRow(r.Job)})
		},
	}
	cmd.Flags().StringVar(&why, "why", "asked by its owner", "reason shown in the history")
	return cmd
}

func cmdJobWait(a *app) *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait JOB",
		Short: "Wait until a job has ended; exit status 5 if it ended in a state other than done",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return waitJob(a, args[0], timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "most", 24*time.Hour, "maximum time to wait")
	return cmd
}

func waitJob(a *app, id string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		r, err := callDesk(a, "wait for job", &wire.JobsAsk{Job: id}, wire.Desk.Jobs)
		switch {
		case err == nil && len(r.Jobs) == 0:
			return exitError{fmt.Errorf("wait for job %s: the answer names no job", id), exitUnknown}
		case err == nil && hasEnded(r.Jobs[0].Phase):
			return printEnded(a, r)
		case err != nil && isFinal(err):
			return err
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return exitError{fmt.Errorf("wait for job %s: %s after %s", id, lowerName(r.Jobs[0].Phase), timeout), exitUnknown}
		}
		time.Sleep(waitPollInterval)
	}
}

// isFinal reports whether asking again cannot give another answer.
func isFinal(err error) bool {
	switch refuse.From("", err).Kind {
	case twirp.NotFound, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute, twirp.Unauthenticated, twirp.PermissionDenied, twirp.Unimplemented:
		return true
	}
	return false
}

func hasEnded(p wire.Phase) bool { return p >= wire.Phase_DONE }

func printEnded(a *app, r *wire.JobsReply) error {
	j := r.Jobs[0]
	if err := a.print(r, jobHeader, [][]string{jobRow(j)}); err != nil {
		return err
	}
	if j.Phase != wire.Phase_DONE {
		return exitError{fmt.Errorf("job %s ended: %s: %s", j.Spec.Id, lowerName(j.Phase), j.Why), exitEnded}
	}
	return nil
}

const jobHeader = "JOB WORKSPACE TASKS PHASE DOMAIN ATTEMPT WORKERS SINCE WHY"

func jobRow(j *wire.Job) []string {
	return []string{
		j.GetSpec().GetId(), j.GetSpec().GetSpace(), strconv.Itoa(int(j.GetSpec().GetTasks())), lowerName(j.GetPhase()),
		orDash(j.GetHome()), strconv.Itoa(int(j.GetAttempt())), formatParts(j.GetParts()), formatTime(j.GetSince()), orDash(j.GetWhy()),
	}
}

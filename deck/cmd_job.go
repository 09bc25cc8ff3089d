package main

import (
	"fmt"
	"strconv"
	"time"

	"dragonflydeck.example/fleet/wire"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
)

// waitStep is how often a wait asks for the state of a job.
const waitStep = 200 * time.Millisecond

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
		Short: "Submit a gang of equal tasks; asking again with the same id is safe",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			res, err := readRes(each)
			if err != nil {
				return status{err, exitUsage}
			}
			if id == "" {
				id = uuid.NewString()
			}
			spec := &wire.Spec{Id: id, Space: args[0], Tasks: tasks, Each: res, Span: span.Milliseconds(), Urgent: urgent}
			r, err := ask(a, "submit "+id, &wire.SubmitAsk{Spec: spec}, wire.Desk.Submit)
			if err != nil {
				return err
			}
			return a.print(r, jobHead, [][]string{jobRow(r.Job)})
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the job; made up if empty")
	cmd.Flags().Int32Var(&tasks, "tasks", 1, "tasks of the gang")
	cmd.Flags().StringVar(&each, "each", "1000,1024,0", "CORES,MEM,ACCELS of each task: thousandths of a core, MiB, accelerators")
	cmd.Flags().DurationVar(&span, "span", time.Hour, "run time that is expected")
	cmd.Flags().BoolVar(&urgent, "urgent", false, "go before all that is not urgent")
	return cmd
}

func cmdJobStatus(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "status JOB",
		Short: "Show a job, and why it is where it is",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return jobs(a, &wire.JobsAsk{Job: args[0]})
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
			return jobs(a, &wire.JobsAsk{Space: space})
		},
	}
	cmd.Flags().StringVar(&space, "space", "", "only those of this workspace")
	return cmd
}

func jobs(a *app, q *wire.JobsAsk) error {
	r, err := ask(a, "list jobs", q, wire.Desk.Jobs)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, j := range r.Jobs {
		rows = append(rows, jobRow(j))
	}
	return a.print(r, jobHead, rows)
}

func cmdJobCancel(a *app) *cobra.Command {
	var why string
	cmd := &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job; one that runs is stopped",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := ask(a, "cancel", &wire.CancelAsk{Job: args[0], Why: why}, wire.Desk.Cancel)
			if err != nil {
				return err
			}
			return a.print(r, jobHead, [][]string{jobRow(r.Job)})
		},
	}
	cmd.Flags().StringVar(&why, "why", "asked by its owner", "reason, for the history")
	return cmd
}

func cmdJobWait(a *app) *cobra.Command {
	var most time.Duration
	cmd := &cobra.Command{
		Use:   "wait JOB",
		Short: "Wait until a job has ended; status 5 if it ended otherwise than done",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return waitJob(a, args[0], most)
		},
	}
	cmd.Flags().DurationVar(&most, "most", 24*time.Hour, "longest wait")
	return cmd
}

func waitJob(a *app, id string, most time.Duration) error {
	until := time.Now().Add(most)
	for {
		r, err := ask(a, "wait for job", &wire.JobsAsk{Job: id}, wire.Desk.Jobs)
		if err == nil && over(r.Jobs[0].Phase) {
			return report(a, r)
		}
		if time.Now().After(until) {
			if err != nil {
				return err
			}
			return status{fmt.Errorf("wait for job %s: %s after %s", id, word(r.Jobs[0].Phase), most), exitUnknown}
		}
		time.Sleep(waitStep)
	}
}

func over(p wire.Phase) bool { return p >= wire.Phase_DONE }

func report(a *app, r *wire.JobsReply) error {
	j := r.Jobs[0]
	if err := a.print(r, jobHead, [][]string{jobRow(j)}); err != nil {
		return err
	}
	if j.Phase != wire.Phase_DONE {
		return status{fmt.Errorf("job %s ended: %s: %s", j.Spec.Id, word(j.Phase), j.Why), exitEnded}
	}
	return nil
}

const jobHead = "JOB WORKSPACE TASKS PHASE DOMAIN ATTEMPT WORKERS SINCE WHY"

func jobRow(j *wire.Job) []string {
	return []string{
		j.GetSpec().GetId(), j.GetSpec().GetSpace(), strconv.Itoa(int(j.GetSpec().GetTasks())), word(j.GetPhase()),
		dash(j.GetHome()), strconv.Itoa(int(j.GetAttempt())), parts(j.GetParts()), when(j.GetSince()), dash(j.GetWhy()),
	}
}

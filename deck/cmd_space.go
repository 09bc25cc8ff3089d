package main

import (
	"fmt"
	"strconv"
	"strings"

	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// cmdSpace sets, removes and lists workspaces.
func cmdSpace(a *app) *cobra.Command {
	cmd := &cobra.Command{Use: "space", Short: "Set, remove and list workspaces"}
	cmd.AddCommand(cmdSpaceSet(a), cmdSpaceDrop(a), cmdSpaceList(a))
	return cmd
}

func cmdSpaceSet(a *app) *cobra.Command {
	var shapes []string
	var quota, id string
	var base int64
	cmd := &cobra.Command{
		Use:   "set NAME",
		Short: "Create a workspace, or change the one whose revision --base gives",
		Long: "Create a workspace, or change the one whose revision --base gives.\n\n" +
			"A shape is COUNTxTASKS:CORES,MEM,ACCELS, resources per task, cores in\n" +
			"thousandths and memory in MiB: --shape 2x8:1000,2048,1 guarantees two\n" +
			"gangs of eight tasks with one core, 2 GiB and one accelerator each.\n" +
			"A quota is CORES,MEM,ACCELS; 0 means no limit.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			w, err := parseSpace(args[0], shapes, quota)
			if err != nil {
				return exitError{err, exitUsage}
			}
			r, err := callDesk(a, "set workspace", &wire.SpaceAsk{Space: w, Base: base, Id: id}, wire.Desk.SetSpace)
			if err != nil {
				return err
			}
			return a.print(r, spaceHeader, [][]string{spaceRow(r.Space)})
		},
	}
	cmd.Flags().StringArrayVar(&shapes, "shape", nil, "guaranteed shape; may be given several times")
	cmd.Flags().StringVar(&quota, "quota", "", "resources that the workspace's jobs may use at most")
	cmd.Flags().Int64Var(&base, "base", 0, "revision that the change is based on; 0 creates the workspace")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, for safe retries")
	return cmd
}

func parseSpace(name string, shapes []string, quota string) (*wire.Space, error) {
	w := &wire.Space{Name: name}
	for _, text := range shapes {
		s, err := parseShape(text)
		if err != nil {
			return nil, err
		}
		w.Shapes = append(w.Shapes, s)
	}
	if quota == "" {
		return w, nil
	}
	q, err := parseRes(quota)
	w.Quota = q
	return w, err
}

func parseShape(text string) (*wire.Shape, error) {
	size, res, ok := strings.Cut(text, ":")
	count, tasks, ok2 := strings.Cut(size, "x")
	if !ok || !ok2 {
		return nil, fmt.Errorf("parse shape %q: must be COUNTxTASKS:CORES,MEM,ACCELS", text)
	}
	c, err := strconv.ParseInt(count, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("parse shape %q: count: %w", text, err)
	}
	t, err := strconv.ParseInt(tasks, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("parse shape %q: tasks: %w", text, err)
	}
	each, err := parseRes(res)
	if err != nil {
		return nil, fmt.Errorf("parse shape %q: %w", text, err)
	}
	return &wire.Shape{Count: int32(c), Tasks: int32(t), Each: each}, nil
}

func parseRes(text string) (*wire.Res, error) {
	p := strings.Split(text, ",")
	if len(p) != 3 {
		return nil, fmt.Errorf("parse resources %q: must be CORES,MEM,ACCELS", text)
	}
	var n [3]int64
	for i := range p {
		v, err := strconv.ParseInt(p[i], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse resources %q: %w", text, err)
		}
		n[i] = v
	}
	return &wire.Res{Cores: n[0], Mem: n[1], Accels: n[2]}, nil
}

func cmdSpaceDrop(a *app) *cobra.Command {
	var base int64
	var id string
	cmd := &cobra.Command{
		Use:   "drop NAME",
		Short: "Remove a workspace that has no live jobs",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := callDesk(a, "remove workspace", &wire.DropAsk{Name: args[0], Base: base, Id: id}, wire.Desk.DropSpace)
			if err != nil {
				return err
			}
			return a.print(r, "WORKSPACE STATE", [][]string{{args[0], "removed"}})
		},
	}
	cmd.Flags().Int64Var(&base, "base", 0, "revision that the removal is based on")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, for safe retries")
	return cmd
}

func cmdSpaceList(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List workspaces, their guarantees and the failure domains that hold them",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := callDesk(a, "list workspaces", &wire.SpacesAsk{}, wire.Desk.Spaces)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, w := range r.Spaces {
				rows = append(rows, spaceRow(w))
			}
			return a.print(r, spaceHeader, rows)
		},
	}
}

const spaceHeader = "WORKSPACE REVISION GUARANTEE HOMES"

func spaceRow(w *wire.Space) []string {
	var shapes, homes []string
	for _, s := range w.Shapes {
		shapes = append(shapes, formatShape(s))
	}
	for _, h := range w.Homes {
		homes = append(homes, fmt.Sprintf("%s:%d", h.Domain, h.Count))
	}
	return []string{w.Name, strconv.FormatInt(w.Rev, 10), orDash(strings.Join(shapes, " ")), orDash(strings.Join(homes, ","))}
}

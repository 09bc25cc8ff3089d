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
		Short: "Create a workspace, or change it on the revision that base names",
		Long: "Create a workspace, or change it on the revision that --base names.\n\n" +
			"A shape is COUNTxTASKS:CORES,MEM,ACCELS for each task, with cores in\n" +
			"thousandths and memory in MiB: --shape 2x8:1000,2048,1 guarantees two\n" +
			"gangs of eight tasks with one core, 2 GiB and one accelerator each.\n" +
			"A quota is CORES,MEM,ACCELS; 0 is no bound.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			w, err := readSpace(args[0], shapes, quota)
			if err != nil {
				return status{err, exitUsage}
			}
			r, err := ask(a, "set workspace", &wire.SpaceAsk{Space: w, Base: base, Id: id}, wire.Desk.SetSpace)
			if err != nil {
				return err
			}
			return a.print(r, spaceHead, [][]string{spaceRow(r.Space)})
		},
	}
	cmd.Flags().StringArrayVar(&shapes, "shape", nil, "guaranteed shape; may be given several times")
	cmd.Flags().StringVar(&quota, "quota", "", "most that the workspace's jobs may hold")
	cmd.Flags().Int64Var(&base, "base", 0, "revision that the change is based on; 0 creates")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, to ask again safely")
	return cmd
}

func readSpace(name string, shapes []string, quota string) (*wire.Space, error) {
	w := &wire.Space{Name: name}
	for _, text := range shapes {
		s, err := readShape(text)
		if err != nil {
			return nil, err
		}
		w.Shapes = append(w.Shapes, s)
	}
	if quota == "" {
		return w, nil
	}
	q, err := readRes(quota)
	w.Quota = q
	return w, err
}

func readShape(text string) (*wire.Shape, error) {
	size, res, ok := strings.Cut(text, ":")
	count, tasks, ok2 := strings.Cut(size, "x")
	if !ok || !ok2 {
		return nil, fmt.Errorf("read shape %q: must be COUNTxTASKS:CORES,MEM,ACCELS", text)
	}
	c, err := strconv.ParseInt(count, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("read shape %q: count: %w", text, err)
	}
	t, err := strconv.ParseInt(tasks, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("read shape %q: tasks: %w", text, err)
	}
	each, err := readRes(res)
	if err != nil {
		return nil, fmt.Errorf("read shape %q: %w", text, err)
	}
	return &wire.Shape{Count: int32(c), Tasks: int32(t), Each: each}, nil
}

func readRes(text string) (*wire.Res, error) {
	p := strings.Split(text, ",")
	if len(p) != 3 {
		return nil, fmt.Errorf("read resources %q: must be CORES,MEM,ACCELS", text)
	}
	var n [3]int64
	for i := range p {
		v, err := strconv.ParseInt(p[i], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("read resources %q: %w", text, err)
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
		Short: "Remove a workspace without live jobs",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := ask(a, "remove workspace", &wire.DropAsk{Name: args[0], Base: base, Id: id}, wire.Desk.DropSpace)
			if err != nil {
				return err
			}
			return a.print(r, "WORKSPACE STATE", [][]string{{args[0], "removed"}})
		},
	}
	cmd.Flags().Int64Var(&base, "base", 0, "revision that the removal is based on")
	cmd.Flags().StringVar(&id, "id", "", "id of the change, to ask again safely")
	return cmd
}

func cmdSpaceList(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List workspaces, their guarantees and where these lie",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := ask(a, "list workspaces", &wire.SpacesAsk{}, wire.Desk.Spaces)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, w := range r.Spaces {
				rows = append(rows, spaceRow(w))
			}
			return a.print(r, spaceHead, rows)
		},
	}
}

const spaceHead = "WORKSPACE REVISION GUARANTEE HOMES"

func spaceRow(w *wire.Space) []string {
	var shapes, homes []string
	for _, s := range w.Shapes {
		shapes = append(shapes, shape(s))
	}
	for _, h := range w.Homes {
		homes = append(homes, fmt.Sprintf("%s:%d", h.Domain, h.Count))
	}
	return []string{w.Name, strconv.FormatInt(w.Rev, 10), dash(strings.Join(shapes, " ")), dash(strings.Join(homes, ","))}
}

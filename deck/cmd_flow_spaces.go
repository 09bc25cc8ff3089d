package main

import (
	"fmt"
	"strconv"
	"strings"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"github.com/spf13/cobra"
)

// flowSpaceHeader is the header of the table that shows what workspaces use and wait for.
const flowSpaceHeader = "WORKSPACE ACCELS MILLICORES MIB WEIGHT SHARE/% FOR-CAP FOR-SHARE FOR-ROOM CONFIGURED"

// flowSpacesLong explains the columns of the table.
const flowSpacesLong = "Show what workspaces use, their caps, weights and shares, and what waits.\n\n" +
	"ACCELS, MILLICORES and MIB are the use and the cap; a cap of - means no limit.\n" +
	"SHARE/% is the entitlement on a full site, - for a workspace without work.\n" +
	"FOR-CAP, FOR-SHARE and FOR-ROOM count the tasks that wait for the cap, for\n" +
	"the share, and for capacity."

func cmdFlowSpaces(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "spaces [NAME]",
		Short: "Show what workspaces use, their caps, weights and shares, and what waits",
		Long:  flowSpacesLong,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			r, err := a.askSpaces(name)
			if err != nil {
				return err
			}
			if len(args) > 0 && len(r.Spaces) == 0 {
				return a.unknownSpace(name)
			}
			return a.printSpaceUse(r)
		},
	}
}

// askSpaces asks the lead about a workspace, or about all if the name is empty.
func (a *app) askSpaces(name string) (*wire.SpaceUseReply, error) {
	const op = "spaces"
	r, err := callLead(a, op, &wire.SpaceUseAsk{Name: name}, wire.Site.Spaces)
	if err != nil {
		return nil, err
	}
	if r.Verdict != wire.Verdict_OK {
		return nil, a.printFlow(op, "", "", r.Verdict, wire.Stage_STAGE_UNSET, "")
	}
	return r, nil
}

// unknownSpace returns the error for a workspace that does not exist, with the known ones.
func (a *app) unknownSpace(name string) error {
	r, err := a.askSpaces("")
	if err != nil {
		return err
	}
	var known []string
	for _, s := range r.Spaces {
		known = append(known, s.Name)
	}
	return exitError{fmt.Errorf("workspace %q does not exist; known: %s", name, orDash(strings.Join(known, ", "))), exitFailed}
}

// printSpaceUse prints the use of workspaces.
func (a *app) printSpaceUse(r *wire.SpaceUseReply) error {
	var rows [][]string
	for _, s := range r.Spaces {
		rows = append(rows, spaceUseRow(s))
	}
	return a.print(r, flowSpaceHeader, rows)
}

func spaceUseRow(s *wire.SpaceUse) []string {
	used, limit := fleet.ResOf(s.Used), fleet.ResOf(s.Cap)
	return []string{
		orDash(s.Name), formatUse(int64(used.Accels), int64(limit.Accels)), formatUse(int64(used.Cores), int64(limit.Cores)),
		formatUse(int64(used.Mem), int64(limit.Mem)), formatWeight(s.Weight), formatShare(s),
		fmt.Sprint(s.Capped), fmt.Sprint(s.Deferred), fmt.Sprint(s.Crowded), yesNo(!s.Absent),
	}
}

// formatUse formats a use and its cap; a cap of zero means no limit.
func formatUse(used, limit int64) string {
	if limit == 0 {
		return fmt.Sprintf("%d/-", used)
	}
	return fmt.Sprintf("%d/%d", used, limit)
}

// formatWeight formats a weight; a weight of zero counts as 1.
func formatWeight(w float64) string {
	if w == 0 {
		w = 1
	}
	return strconv.FormatFloat(w, 'g', -1, 64)
}

// formatShare formats the share in percent. The lead divides capacity only among the workspaces
// with work.
func formatShare(s *wire.SpaceUse) string {
	if fleet.ResOf(s.Used).Zero() && s.Capped+s.Deferred+s.Crowded == 0 {
		return "-"
	}
	return strconv.FormatFloat(100*s.Share, 'f', 1, 64)
}

func yesNo(on bool) string {
	if on {
		return "yes"
	}
	return "no"
}

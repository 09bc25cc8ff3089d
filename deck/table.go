package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"dragonflydeck.example/fleet"
	"dragonflydeck.example/fleet/wire"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// print writes a reply as JSON, or as a table of the given rows.
func (a *app) print(m proto.Message, header string, rows [][]string) error {
	if a.settings.JSON {
		data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		fmt.Fprintln(a.out, string(data))
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func lowerName(value fmt.Stringer) string { return strings.ToLower(value.String()) }

func formatParts(list []*wire.Part) string {
	var out []string
	for _, p := range list {
		out = append(out, fmt.Sprintf("%s:%d", p.Worker, p.Tasks))
	}
	return orDash(strings.Join(out, ","))
}

func formatShape(s *wire.Shape) string {
	return fmt.Sprintf("%dx%d (%s)", s.Count, s.Tasks, fleet.ResOf(s.Each))
}

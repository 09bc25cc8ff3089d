package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"dragonflydeck.example/fleet/event"
	qt "github.com/frankban/quicktest"
)

func catalogueTable() string {
	var w strings.Builder
	for _, e := range event.Catalogue {
		fmt.Fprintf(&w, "| %d | %s | %s | %s | %s |\n", e.Code, e.Name, levelName(e.Level), e.Meaning, e.Action)
	}
	return w.String()
}

func levelName(l event.Level) string {
	return [...]string{"", "debug", "info", "warn", "error"}[l]
}

func TestCatalogueIsTheOneInTheDocs(t *testing.T) {
	doc, err := os.ReadFile("../../docs/EVENTS.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(doc), catalogueTable()), qt.IsTrue, qt.Commentf("docs/EVENTS.md must contain:\n%s", catalogueTable()))
}

func TestCodesAreUniqueAndRise(t *testing.T) {
	for i := 1; i < len(event.Catalogue); i++ {
		qt.Assert(t, event.Catalogue[i].Code > event.Catalogue[i-1].Code, qt.IsTrue)
	}
}

func TestEveryCodeOfTheSourceIsInTheCatalogue(t *testing.T) {
	src, err := os.ReadFile("codes.go")
	qt.Assert(t, err, qt.IsNil)
	declared := strings.Count(string(src), " Code = ")
	qt.Assert(t, event.Catalogue, qt.HasLen, declared)
}

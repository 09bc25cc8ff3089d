package fleet

import (
	_ "embed" // for versionFile
	"strings"
)

//go:embed version.txt
var versionFile string

// Version is the version shared by all programs of the project.
var Version = strings.TrimSpace(versionFile)

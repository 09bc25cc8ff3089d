package fleet

import (
	_ "embed" // holds the version file
	"strings"
)

//go:embed version.txt
var versionFile string

// Version is that of every program of the project.
var Version = strings.TrimSpace(versionFile)

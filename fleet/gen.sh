#!/bin/sh
# Generates the Go code in wire/ from the schema; run by the gen target of the Makefile.
set -eu
cd "$(dirname "$0")/wire"
protoc --go_out=. --go_opt=paths=source_relative \
	--twirp_out=. --twirp_opt=paths=source_relative fleet.proto site.proto

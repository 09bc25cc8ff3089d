#!/bin/sh
# Generates wire/ from the schema; see the generate target of the make file.
set -eu
cd "$(dirname "$0")/wire"
protoc --go_out=. --go_opt=paths=source_relative \
	--twirp_out=. --twirp_opt=paths=source_relative fleet.proto site.proto

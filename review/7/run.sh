#!/bin/bash
# A guarantee that is not given. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewrig2 ] && [ -x target/deckd ] || exit 2
exec target/reviewrig2 guarantee review/7

#!/bin/bash
# Recurring jobs end the daemons one after the other. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewrig2 ] && [ -x target/deckd ] || exit 2
exec target/reviewrig2 memory review/9

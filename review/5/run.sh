#!/bin/sh
# Plays this case. Needs the build of the deploy file and review/build.sh before.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/fixture ] || exit 2
exec target/review/fixture late-stop review/5

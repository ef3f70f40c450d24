#!/bin/bash
# Plays this case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. Wants the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "review/build.sh was not run" >&2; exit 2; }
exec review/bin/standin pipeline review/3

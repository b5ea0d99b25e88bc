#!/usr/bin/env bash
# All daemons are killed at once and start again a second later; consumers take their streams up again.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")/../.."
[ -f target/review-2/AllDaemonsKilled.class ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx256m -cp target/review-2 AllDaemonsKilled . review/8/record.txt

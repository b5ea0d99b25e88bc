#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside this script. Exit code: 1 the rule was
# broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case.sh" "$folder/record.txt" ResetAnswer

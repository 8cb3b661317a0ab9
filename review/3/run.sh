#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec python3 "$here/play.py" "$here/record.txt"

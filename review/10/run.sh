#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
command -v python3 >/dev/null 2>&1 || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"

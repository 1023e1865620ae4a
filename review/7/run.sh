#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. It writes what was sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
test -x "$root/.venv/bin/python" || exit 2
PYTHONPATH="$root" exec "$root/.venv/bin/python" "$here/case.py"

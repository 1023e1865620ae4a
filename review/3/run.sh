#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# It writes what was sent, answered and run to record.txt in this folder, and prints the verdict.
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
[ -x "$root/.venv/bin/python" ] || { echo "no .venv: run the deploy file's build first"; exit 2; }
PYTHONPATH="$here/.." exec "$root/.venv/bin/python" "$here/case.py"

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python of the standard library alone, so this compiles
# them with the interpreter that the deploy file's build has made, and fails if one of them cannot be.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
cd "$root" || exit 1
exec .venv/bin/python -m compileall -q review/common_2 review/6 review/7 review/8 review/9 review/10

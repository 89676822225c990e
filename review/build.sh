#!/bin/sh
# The stand-ins are Python files that use the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in harness.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

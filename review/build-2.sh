#!/bin/sh
# Checks that what the scripts of review 2 start can run: the gateway as the deploy file builds it,
# and the stand-ins, which need only Python's standard library and are not compiled to files.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c 'import gooseberryport_site.start'
for source in review/small_site.py review/[6-9]/*.py review/10/*.py; do
  if [ -f "$source" ]; then
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
  fi
done

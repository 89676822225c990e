#!/bin/sh
# Puts the pinned libraries and this project's packages into target/deps.
set -eu
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" -r deploy/requirements.txt
  touch "$deps/.installed"
fi
for source in packages/gooseberryport-core/src packages/gooseberryport-gateway/src platform; do
  cp -R "$source"/. "$deps"
done
python3 -m compileall -q "$deps"

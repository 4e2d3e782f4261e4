#!/bin/sh
# Puts the libraries and the two packages, byte-compiled, under target/deps.
set -eu
stamp=target/deps/.installed
if [ ! "$stamp" -nt deploy/requirements.lock ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check \
    --require-hashes --target target/deps -r deploy/requirements.lock
  python3 -m compileall -q target/deps || true
  touch "$stamp"
fi
rm -rf target/deps/snipebend target/deps/snipebend_platform
cp -R src/snipebend platform/snipebend_platform target/deps/
python3 -m compileall -q target/deps/snipebend target/deps/snipebend_platform

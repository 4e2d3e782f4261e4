#!/bin/sh
# Puts the libraries and the two packages, byte-compiled, under target/deps.
# Files that exist already aren't changed: a program may be running from them.
set -eu
stamp=target/deps/.installed
if [ ! "$stamp" -nt deploy/requirements.lock ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --disable-pip-version-check \
    --require-hashes --target target/deps -r deploy/requirements.lock
  python3 -m compileall -q target/deps || true
  touch "$stamp"
fi
for package in src/snipebend platform/snipebend_platform; do
  placed=target/deps/$(basename "$package")
  if ! diff -rq -x __pycache__ "$package" "$placed" > /dev/null 2>&1; then
    rm -rf "$placed"
    cp -R "$package" target/deps/
    python3 -m compileall -q "$placed"
  fi
done

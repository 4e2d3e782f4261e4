#!/bin/sh
# Checks that the stand-ins and cases of the second review compile, and that the
# libraries which they import are there. To be run after the build of the deploy
# file; nothing is started.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin-2/*.py review/[4-8]/*.py; do
  test -f "$file" || continue
  PYTHONPATH=target/deps python3 -c 'import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=target/deps:review/standin-2 PYTHONDONTWRITEBYTECODE=1 \
  python3 -c 'import deployment'

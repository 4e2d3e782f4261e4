#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need no more than a
# check that they compile and that the libraries of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review/standin:target/deps python3 -B - <<'CHECK'
import ast
import pathlib

import expert_group
import http_parts
import later_routes
import outcomes
import parties
import platform_bed

for path in pathlib.Path('review').rglob('*.py'):
    ast.parse(path.read_text(), str(path))
CHECK

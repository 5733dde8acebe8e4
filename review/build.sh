#!/usr/bin/env bash
# Nothing has to be compiled: the stand-ins are Python, and run with the
# packages that the build of the deploy file puts into target/deps.  This checks
# that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 2
set -euo pipefail
PYTHONPATH=target/deps:.:review/lib python3 -S -c '
import stage, worksrail.standins.objects'
for file in review/lib/*.py review/[0-9]*/run.py; do
  python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.  They are Python: the store is the
# project's own (worksrail/standins/objects.py), which needs target/deps of the
# deploy file's build; servers, clients and proxies stand in review/lib-2.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/tornado ]; then
  echo 'build-2: run the build of deploy/system.toml first' >&2
  exit 2
fi
PYTHONPATH=target/deps:. python3 -S -c '
import fire, msgspec, tornado
import worksrail.standins.objects
'
for file in review/lib-2/*.py review/6/case.py review/7/case.py review/8/case.py \
  review/9/case.py review/10/case.py; do
  python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo 'build-2: ready'

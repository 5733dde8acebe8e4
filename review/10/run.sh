#!/usr/bin/env bash
# A machine is added whose seeds are all stale; a tenant is over its quota.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec python3 -S review/10/case.py

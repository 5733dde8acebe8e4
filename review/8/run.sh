#!/usr/bin/env bash
# A request hidden in the body of another one.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec python3 -S review/8/case.py

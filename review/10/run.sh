#!/usr/bin/env bash
# Paths with bytes beyond ASCII.
set -u
cd "$(dirname "$0")/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. exec python3 -S review/10/case.py

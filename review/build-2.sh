#!/usr/bin/env bash
# Builds what the scripts of this review start beside the project's own processes: the
# stand-ins, which use the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness_2.py 4 5 6 7 8

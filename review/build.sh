#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins.py [0-9]/case.py

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
timeout -k 5 115 python3 case.py
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac

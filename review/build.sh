#!/usr/bin/env bash
# Builds the stand-ins: they need Python's standard library only, so they are just compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/

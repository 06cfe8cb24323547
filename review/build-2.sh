#!/bin/sh
# Builds the stand-ins of review/4 and later: Python with its standard library alone. The project
# itself is built by the line of deploy/service.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins2

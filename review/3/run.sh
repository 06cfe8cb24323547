#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$(cd .. && pwd)" exec timeout -k 3 116 python3 case.py

"""Calm reconciliation after controllers fail (docs/recovery.md): differences between the stored
state and the workers' reports are settled in a known order, at a bounded rate, with a brake.

Loaded only with `serve --recovery FILE`.
"""

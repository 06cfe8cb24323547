"""Model replicas whose members run on several machines, each replica handled as one unit.

Loaded only when a controller is started with a multihost file; see docs/multihost.md.
"""

"""Model replicas whose members stand on several machines, each handled as one unit.

Loaded only when a controller is started with a multihost file; see docs/multihost.md.
"""

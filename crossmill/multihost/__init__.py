"""Schedules model replicas that span several machines, each replica as one unit.

The package is imported only by a controller that is started with a multihost file; see
docs/multihost.md.
"""

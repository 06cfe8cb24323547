"""A sample replica set and machines for unit tests."""

from typing import Any

from crossmill.cluster.model import Resources
from crossmill.multihost.model import ReplicaSetSpec
from crossmill.multihost.placement import Candidate

MEMBER_RESOURCES = Resources(8.0, 4.0, 32.0)
SPEC = ReplicaSetSpec("chat", 3, 2, MEMBER_RESOURCES, "weights", 10.0)


def make_candidates(zone: str, count: int, **changes: Any) -> list[Candidate]:
    """Return machines of a zone with free capacity for one member each, with overrides."""
    free = Resources(16.0, 4.0, 64.0)
    return [Candidate(f"{zone}-{n}", zone, 1, free, 1.0)._replace(**changes) for n in range(count)]

"""The choice of the replicas to preempt for one of higher priority."""

import pytest

from crossmill.cluster.model import Resources
from crossmill.multihost.model import ReplicaSetSpec
from crossmill.multihost.preemption import Victim, choose_victims

from .multihost_samples import MEMBER_RESOURCES, SPEC, make_candidates


def _victim(name: str, priority: int, *machines: int) -> Victim:
    return Victim(name, priority, 0.0, tuple(f"north-{m}" for m in machines), MEMBER_RESOURCES)


USED = Resources(8.0, 0.0, 32.0)
VICTIMS = [_victim("a/0", 0, 0, 1), _victim("b/0", 0, 2, 3, 4), _victim("c/0", 1, 5)]


@pytest.mark.parametrize(
    ("spec", "names"),
    [
        # a/0 frees too few machines, and with b/0 it is not needed
        pytest.param(SPEC._replace(priority=2), ["b/0"], id="no more than needed"),
        pytest.param(SPEC._replace(priority=0), [], id="none of the same priority"),
        pytest.param(SPEC._replace(priority=2, members=7), [], id="none if all free too few"),
    ],
)
def test_victims_are_whole_replicas_of_lower_priority(
    spec: ReplicaSetSpec, names: list[str]
) -> None:
    chosen = choose_victims(spec, make_candidates("north", 6, free=USED), VICTIMS, {})
    assert [v.name for v in chosen] == names

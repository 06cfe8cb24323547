"""Grants of serving leases to front members, and the time when leases have expired."""

import pytest

from crossmill.multihost.agents import AgentView
from crossmill.multihost.model import (
    Member,
    MemberChunk,
    Replica,
    ReplicaId,
)
from crossmill.multihost.phases import (
    ReplicaPhase,
)
from crossmill.multihost.serving import ServingLeases, all_alive_at
from crossmill.multihost.settings import MultihostSettings
from crossmill.settings import Endpoint
from crossmill.wire.multihost import (
    MemberReport,
    MemberState,
)

SETTINGS = MultihostSettings(Endpoint("127.0.0.1", 1), 0, 1.0, 0.25)


def _view(machine: str, alive_at: float | None, session: int = 1) -> AgentView:
    return AgentView(machine, 0.0, alive_at, session)


def _ready_replica(generation: int = 2) -> Replica:
    members = tuple(Member(r, f"m-{r}", 1, 1) for r in range(3))
    replica = Replica(ReplicaId("chat", 0), ReplicaPhase.READY, generation, version=1)
    replica.chunks = {0: MemberChunk(generation, members)}
    return replica


MEMBERS = _ready_replica().members()
VIEWS = [_view(f"m-{r}", 10.0 + r) for r in range(3)]


def test_all_members_were_alive_at_the_earliest_of_their_proofs() -> None:
    assert all_alive_at(MEMBERS, VIEWS) == 10.0


@pytest.mark.parametrize(
    "third",
    [
        pytest.param(None, id="no heartbeat"),
        pytest.param(_view("m-2", None), id="no proof"),
        pytest.param(_view("m-2", 12.0, session=2), id="another session"),
    ],
)
def test_members_are_not_all_alive_while_one_has_no_proof(third: AgentView | None) -> None:
    assert all_alive_at(MEMBERS, [*VIEWS[:2], third]) is None


def test_a_lease_counts_from_the_proof_of_liveness() -> None:
    replica = _ready_replica()
    granted = ServingLeases(SETTINGS).grant(replica, replica.members()[0], alive_at=10.0, now=11.5)
    assert 0 < granted <= SETTINGS.serving_lease_s - 1.5


def test_no_lease_is_granted_on_a_proof_that_is_too_old() -> None:
    replica, now = _ready_replica(), 10.0 + SETTINGS.serving_lease_s
    assert ServingLeases(SETTINGS).grant(replica, replica.members()[0], 10.0, now) == 0.0


def _granted_leases() -> ServingLeases:
    """Return the leases of an owner that granted one in generation 2 on a proof of time 10.0."""
    leases, replica = ServingLeases(SETTINGS), _ready_replica(generation=2)
    leases.grant(replica, replica.members()[0], alive_at=10.0, now=11.5)
    return leases


def test_the_next_generation_waits_until_the_lease_has_expired() -> None:
    fenced_at = _granted_leases().fenced_at(_ready_replica(generation=3), 0.0, None)
    assert fenced_at >= 10.0 + SETTINGS.serving_lease_s


def _view_of_next_generation() -> AgentView:
    view = _view("m-0", 20.0)
    view.members["chat/0"] = MemberReport("chat/0", 0, 3, MemberState.LOADING)
    return view


@pytest.mark.parametrize(
    "grantee",
    [
        pytest.param(_view_of_next_generation(), id="runs the next generation"),
        pytest.param(_view("m-0", 20.0, session=2), id="began a new session"),
    ],
)
def test_the_next_generation_waits_less_once_the_machine_has_dropped_its_lease(
    grantee: AgentView,
) -> None:
    leases, replica = _granted_leases(), _ready_replica(generation=3)
    assert leases.fenced_at(replica, 0.0, grantee) < leases.fenced_at(replica, 0.0, None)


def test_a_heartbeat_alone_does_not_shorten_the_delay() -> None:
    leases, replica = _granted_leases(), _ready_replica(generation=3)
    view = _view("m-0", 20.0)
    assert leases.fenced_at(replica, 0.0, view) == leases.fenced_at(replica, 0.0, None)


def test_a_new_owner_waits_until_any_lease_has_expired() -> None:
    assert ServingLeases(SETTINGS).fenced_at(_ready_replica(generation=3), 50.0, None) >= 55.0

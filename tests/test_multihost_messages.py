"""Messages between agents and controllers, and proofs of liveness in heartbeats."""

from typing import Any

import orjson
import pytest

from crossmill.multihost.agents import Agents, Freshness
from crossmill.wire.checks import MalformedMessageError
from crossmill.wire.multihost import (
    AgentHeartbeat,
    AgentHeartbeatResponse,
    AgentOffer,
    LivenessProof,
    MemberReport,
    MemberState,
    Order,
    OrderKind,
    PeerAddress,
    heartbeat_body,
    heartbeat_response_body,
    parse_agent_heartbeat,
    parse_heartbeat_response,
)

HEARTBEAT = AgentHeartbeat(
    "m-1",
    "127.0.0.1:9",
    AgentOffer("g4", "north", False, 32.0, 4.0, 256.0, 1.0),
    1,
    7,
    41,
    LivenessProof("here", 100.0),
    None,
    ("weights",),
    (MemberReport("chat/0", 1, 3, MemberState.LOADED, (2,)),),
)


def test_a_delayed_heartbeat_proves_liveness_only_at_the_time_of_its_proof() -> None:
    agents = Agents("here")
    assert agents.apply_heartbeat(HEARTBEAT, 41, 101.0) is Freshness.NEW
    late = HEARTBEAT._replace(sequence=8, proof=LivenessProof("here", 100.5))
    assert agents.apply_heartbeat(late, 41, 500.0) is Freshness.NEW
    view = agents.get("m-1")
    assert view is not None
    assert view.alive_at == 100.5
    assert agents.apply_heartbeat(HEARTBEAT, 41, 501.0) is Freshness.STALE


@pytest.mark.parametrize(
    "change", [{"proof": None}, {"proof": LivenessProof("another", 100.0)}, {"token": 40}]
)
def test_a_heartbeat_without_a_proof_of_this_owner_is_not_accepted(change: dict[str, Any]) -> None:
    agents = Agents("here")
    assert agents.apply_heartbeat(HEARTBEAT._replace(**change), 41, 101.0) is Freshness.UNVERIFIED
    view = agents.get("m-1")
    assert view is not None
    assert not view.is_verified
    assert not view.members


ORDER = Order(
    OrderKind.START,
    "chat/0",
    1,
    3,
    image="weights",
    image_gb=2.0,
    resources=(1.0, 2.0, 3.0),
    peers=(PeerAddress(0, "a:1"),),
    lease_s=5.0,
)


def test_a_heartbeat_is_parsed_as_it_was_sent() -> None:
    assert parse_agent_heartbeat(heartbeat_body(HEARTBEAT)) == HEARTBEAT


def test_a_response_is_parsed_as_it_was_sent() -> None:
    response = AgentHeartbeatResponse(41, LivenessProof("here", 1.5), (ORDER,))
    assert parse_heartbeat_response(heartbeat_response_body(response)) == response


def test_unknown_fields_of_a_heartbeat_are_ignored() -> None:
    extended = orjson.loads(heartbeat_body(HEARTBEAT)) | {"later": 1}
    assert parse_agent_heartbeat(orjson.dumps(extended)) == HEARTBEAT


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", 2),
        ("machine", ""),
        ("session", 0),
        ("sequence", -1),
        ("token", True),
        ("offer", []),
        ("proof", "x"),
        ("proof", {"process": "a"}),
        ("images", [1]),
        ("members", {}),
        ("members", [{"replica": "chat/0", "rank": 0, "generation": 1, "state": "odd"}]),
        ("members", [{}] * 257),
        ("notice_s", -1),
    ],
)
def test_a_malformed_heartbeat_is_rejected(field: str, value: Any) -> None:
    data = orjson.loads(heartbeat_body(HEARTBEAT)) | {field: value}
    with pytest.raises(MalformedMessageError):
        parse_agent_heartbeat(orjson.dumps(data))

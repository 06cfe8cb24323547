"""Messages between controllers, agents and operators about multi-machine replicas.

The protocol is specific to crossmill and not part of PROTOCOL. The agent on each machine sends
heartbeats to the controller that owns the pool, and the responses contain orders. The agent of the
front member pings the other members' agents. Unknown fields are ignored; messages of another
protocol version are rejected.

Pure functions, called by `multihost.service`, the operators' API and agents. The fields of the
named tuples are the fields of the messages, so their names never change.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import orjson

from . import checks

PROTOCOL_VERSION = 1
BASE_PATH = "/multihost/v1"
HEARTBEAT_PATH = BASE_PATH + "/heartbeat"
PING_PATH = BASE_PATH + "/ping"
SETS_PATH = BASE_PATH + "/replica-sets"
REPLICAS_PATH = BASE_PATH + "/replicas"
MACHINES_PATH = BASE_PATH + "/machines"

# exceeds the number of members that one machine runs at a time
MAX_REPORTED_MEMBERS = 256
# the amounts of resources in an order: CPUs, GPUs and memory in GB
RESOURCE_COUNT = 3


class MemberState(StrEnum):
    """The state of a member as reported by its agent."""

    LOADING = "loading"
    # the weights are loaded, which confirms the generation
    LOADED = "loaded"
    FAILED = "failed"
    # the machine currently lacks the free resources to run the member
    REFUSED = "refused"


class OrderKind(StrEnum):
    """The action that an order requests from an agent."""

    START = "start"
    STOP = "stop"
    SERVE = "serve"


class LivenessProof(NamedTuple):
    """Identifies a controller's response, so that a heartbeat that returns it proves liveness.

    The agent must have sent the heartbeat after it received that response.

    Attributes:
        process: The process that sent the response.
        sent: The time at which it was sent, by that process's monotonic clock.
    """

    process: str
    sent: float


class MemberReport(NamedTuple):
    """An agent's report about a member."""

    replica: str
    rank: int
    generation: int
    state: MemberState
    # ranks that have not responded to the front member's pings for the length of a serving lease
    unreachable: tuple[int, ...] = ()


class AgentOffer(NamedTuple):
    """The properties and capacity that a machine offers to the pool."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    fetch_gb_per_s: float


class AgentHeartbeat(NamedTuple):
    """An agent's heartbeat with the status of its machine and members.

    Heartbeats are ordered by (session, sequence). `session` is the incarnation of the agent's
    process, `token` the highest fencing token that it has seen, `notice_s` the time until the cloud
    reclaims the machine.
    """

    machine: str
    address: str
    offer: AgentOffer
    session: int
    sequence: int
    token: int
    proof: LivenessProof | None
    notice_s: float | None
    images: tuple[str, ...]
    members: tuple[MemberReport, ...]


class PeerAddress(NamedTuple):
    """The network address of a replica's member."""

    rank: int
    address: str


class Order(NamedTuple):
    """An order to an agent about one member.

    A lease counts from the time at which the agent sent the heartbeat that the order responds to.
    """

    op: OrderKind
    replica: str
    rank: int
    generation: int
    image: str = ""
    image_gb: float = 0.0
    resources: tuple[float, float, float] = (0.0, 0.0, 0.0)
    peers: tuple[PeerAddress, ...] = ()
    lease_s: float = 0.0


class AgentHeartbeatResponse(NamedTuple):
    """A controller's response to a heartbeat, with its fencing token."""

    token: int
    proof: LivenessProof
    orders: tuple[Order, ...]


class Ping(NamedTuple):
    """A query of the front member's agent: whether another member runs the same generation."""

    replica: str
    rank: int
    generation: int


def _check_version(data: dict[str, Any]) -> None:
    version = checks.count(data, "version")
    if version != PROTOCOL_VERSION:
        raise checks.MalformedMessageError(f"version: {PROTOCOL_VERSION} is needed")


def _objects(data: dict[str, Any], name: str, max_length: int) -> list[dict[str, Any]]:
    value = data.get(name)
    if type(value) is not list or not all(type(v) is dict for v in value):
        raise checks.MalformedMessageError(f"{name}: a list of objects is needed")
    if len(value) > max_length:
        raise checks.MalformedMessageError(f"{name}: {max_length} at most")
    return value


def _object(data: dict[str, Any], name: str) -> dict[str, Any]:
    value = data.get(name)
    if type(value) is not dict:
        raise checks.MalformedMessageError(f"{name}: an object is needed")
    return value


def _strings(data: dict[str, Any], name: str) -> tuple[str, ...]:
    value = data.get(name, [])
    if type(value) is not list or not all(type(v) is str for v in value):
        raise checks.MalformedMessageError(f"{name}: a list of strings is needed")
    return tuple(value)


def _ranks(data: dict[str, Any], name: str) -> tuple[int, ...]:
    value = data.get(name, [])
    if type(value) is not list or not all(type(v) is int and v >= 0 for v in value):
        raise checks.MalformedMessageError(f"{name}: a list of ranks is needed")
    return tuple(value)


def _encode_proof(proof: LivenessProof | None) -> dict[str, Any] | None:
    return None if proof is None else proof._asdict()


def _parse_proof(data: dict[str, Any]) -> LivenessProof | None:
    if data.get("proof") is None:
        return None
    proof = _object(data, "proof")
    return LivenessProof(checks.text(proof, "process"), checks.amount(proof, "sent"))


def _parse_member(data: dict[str, Any]) -> MemberReport:
    states = {state.value: state.value for state in MemberState}
    return MemberReport(
        replica=checks.text(data, "replica"),
        rank=checks.count(data, "rank"),
        generation=checks.count(data, "generation"),
        state=MemberState(checks.one_of(data, "state", states)),
        unreachable=_ranks(data, "unreachable"),
    )


def heartbeat_body(heartbeat: AgentHeartbeat) -> bytes:
    """Return the encoded heartbeat."""
    return orjson.dumps(
        {
            "version": PROTOCOL_VERSION,
            "machine": heartbeat.machine,
            "address": heartbeat.address,
            "offer": heartbeat.offer._asdict(),
            "session": heartbeat.session,
            "sequence": heartbeat.sequence,
            "token": heartbeat.token,
            "proof": _encode_proof(heartbeat.proof),
            "notice_s": heartbeat.notice_s,
            "images": list(heartbeat.images),
            "members": [m._asdict() for m in heartbeat.members],
        }
    )


def parse_agent_heartbeat(body: bytes) -> AgentHeartbeat:
    """Return the decoded heartbeat after checking it.

    Raises:
        MalformedMessageError: The message violates the protocol.
    """
    data = checks.load_object(body)
    _check_version(data)
    offer = _object(data, "offer")
    return AgentHeartbeat(
        machine=checks.text(data, "machine"),
        address=checks.text(data, "address"),
        offer=AgentOffer(
            type=checks.text(offer, "type"),
            zone=checks.text(offer, "zone"),
            spot=checks.flag(offer, "spot"),
            cpus=checks.amount(offer, "cpus"),
            gpus=checks.amount(offer, "gpus"),
            memory_gb=checks.amount(offer, "memory_gb"),
            fetch_gb_per_s=checks.amount(offer, "fetch_gb_per_s"),
        ),
        session=checks.count(data, "session", low=1),
        sequence=checks.count(data, "sequence"),
        token=checks.count(data, "token"),
        proof=_parse_proof(data),
        notice_s=checks.optional_amount(data, "notice_s"),
        images=_strings(data, "images"),
        members=tuple(_parse_member(m) for m in _objects(data, "members", MAX_REPORTED_MEMBERS)),
    )


def _encode_order(order: Order) -> dict[str, Any]:
    data = order._asdict()
    data["peers"] = [peer._asdict() for peer in order.peers]
    return data


def heartbeat_response_body(response: AgentHeartbeatResponse) -> bytes:
    """Return the encoded response to a heartbeat."""
    return orjson.dumps(
        {
            "version": PROTOCOL_VERSION,
            "token": response.token,
            "proof": _encode_proof(response.proof),
            "orders": [_encode_order(o) for o in response.orders],
        }
    )


def _parse_order(data: dict[str, Any]) -> Order:
    ops = {op.value: op.value for op in OrderKind}
    resources = data.get("resources")
    if type(resources) is not list or len(resources) != RESOURCE_COUNT:
        raise checks.MalformedMessageError("resources: three amounts are needed")
    peers = tuple(
        PeerAddress(checks.count(p, "rank"), checks.text(p, "address"))
        for p in _objects(data, "peers", checks.UINT64_LIMIT)
    )
    return Order(
        op=OrderKind(checks.one_of(data, "op", ops)),
        replica=checks.text(data, "replica"),
        rank=checks.count(data, "rank"),
        generation=checks.count(data, "generation"),
        image=str(data.get("image", "")),
        image_gb=checks.amount(data, "image_gb"),
        resources=(float(resources[0]), float(resources[1]), float(resources[2])),
        peers=peers,
        lease_s=checks.amount(data, "lease_s"),
    )


def parse_heartbeat_response(body: bytes) -> AgentHeartbeatResponse:
    """Return the decoded response to a heartbeat after checking it.

    Raises:
        MalformedMessageError: The message violates the protocol.
    """
    data = checks.load_object(body)
    _check_version(data)
    proof = _parse_proof(data)
    if proof is None:
        raise checks.MalformedMessageError("proof: an object is needed")
    orders = tuple(_parse_order(o) for o in _objects(data, "orders", checks.UINT64_LIMIT))
    return AgentHeartbeatResponse(checks.count(data, "token"), proof, orders)


def redirect_body(owner: str | None) -> bytes:
    """Return the encoded message that redirects an agent to the pool's owner, if it is known."""
    return orjson.dumps({} if owner is None else {"owner": owner})


def parse_redirect(body: bytes) -> str | None:
    """Return the label of the controller that an agent is redirected to; None if unknown.

    Raises:
        MalformedMessageError: The message violates the protocol.
    """
    return checks.optional_text(checks.load_object(body), "owner")


def ping_body(ping: Ping) -> bytes:
    """Return the encoded ping."""
    return orjson.dumps({"version": PROTOCOL_VERSION, **ping._asdict()})


def parse_ping(body: bytes) -> Ping:
    """Return the decoded ping after checking it.

    Raises:
        MalformedMessageError: The message violates the protocol.
    """
    data = checks.load_object(body)
    _check_version(data)
    return Ping(
        checks.text(data, "replica"), checks.count(data, "rank"), checks.count(data, "generation")
    )


def error_body(error: str, field: str = "") -> bytes:
    """Return the encoded error of an HTTP request, with the invalid field if there is one."""
    return orjson.dumps({"error": error, "field": field} if field else {"error": error})

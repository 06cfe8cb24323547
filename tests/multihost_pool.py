"""A pool with one controller that owns it; tests step the controller and send heartbeats."""

from crossmill.cluster import keys as cluster_keys
from crossmill.cluster.model import Resources
from crossmill.multihost import keys
from crossmill.multihost.context import ControllerContext
from crossmill.multihost.model import (
    Member,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
    ReplicaSetSpec,
)
from crossmill.multihost.phases import ReplicaPhase
from crossmill.multihost.records import (
    encode_chunk,
    encode_machine,
    encode_replica,
    encode_set,
    reservation_record,
)
from crossmill.multihost.service import MultihostService
from crossmill.wire.multihost import (
    AgentHeartbeat,
    AgentOffer,
    LivenessProof,
    MemberReport,
    MemberState,
)

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_region import SETTINGS
from .stepped_controller import SteppedController, seed

PAIR_MEMBER_RESOURCES = Resources(16.0, 4.0, 64.0)


def add_ready_pairs(state: StateService, clock: FakeClock, number: int) -> None:
    """Store a set of ready replicas with two members each, on consecutive machines."""
    for index in range(number):
        replica = Replica(
            ReplicaId("chat", index), ReplicaPhase.READY, 1, 1, since=clock.wall_time()
        )
        members = tuple(Member(r, f"m-{2 * index + r}", 1, 1) for r in range(2))
        state.put(keys.replica(replica.id), encode_replica(replica))
        state.put(keys.members(replica.id, 0), encode_chunk(1, members))
    spec = ReplicaSetSpec("chat", 2, number, PAIR_MEMBER_RESOURCES, "weights", 1.0)
    state.put(keys.replica_set("chat"), encode_set(ReplicaSet(spec, False, number)))


def send_all_heartbeats(
    node: SteppedController, service: MultihostService, machines: int, sequence: int
) -> None:
    """Deliver a heartbeat of every machine that reports its member of a pair as loaded."""
    for m in range(machines):
        report = MemberReport(f"chat/{m // 2}", m % 2, 1, MemberState.LOADED)
        service.heartbeats.handle(make_heartbeat(node, m, sequence, report))


def pool_service(node: SteppedController, process: str) -> MultihostService:
    """Return a service for multi-machine replicas on a controller."""
    controller = ControllerContext(
        node.settings, node.clock, node.cluster, node.membership, node.watcher, node.writer
    )
    return MultihostService(SETTINGS, controller, process)


async def booted_pool(
    state: StateService, clock: FakeClock, nodes: dict[str, SteppedController], machines: int
) -> tuple[SteppedController, MultihostService]:
    """Return a controller that owns a pool of machines, and its service."""
    seed(state, clock, machines=0)
    for number in range(machines):
        machine = PoolMachine(f"m-{number}", "north", Resources(32.0, 4.0, 256.0), 1.0)
        record = reservation_record("g4", "north", False, SETTINGS.pool_shard, clock.wall_time())
        state.put(keys.machine(machine.id), encode_machine(machine))
        state.put(cluster_keys.machine(machine.id), record)
    node = SteppedController(state, clock, nodes)
    service = pool_service(node, "process")
    await node.boot()
    return node, service


def make_heartbeat(
    node: SteppedController, machine: int, sequence: int, *members: MemberReport
) -> AgentHeartbeat:
    """Return a machine's heartbeat with a proof of liveness at the current time."""
    proof = LivenessProof("process", node.clock.now())
    offer = AgentOffer("g4", "north", False, 32.0, 4.0, 256.0, 1.0)
    token = node.token(SETTINGS.pool_shard)
    name, address = f"m-{machine}", f"127.0.0.1:{30000 + machine}"
    return AgentHeartbeat(name, address, offer, 1, sequence, token, proof, None, (), members)

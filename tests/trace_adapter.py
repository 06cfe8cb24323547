"""Interface through which the behaviour trace's scenarios use a simulated region.

A refactoring of the code under test needs edits in this module, trace_messages.py and
trace_determinism.py only. The other modules of the behaviour trace import neither crossmill nor
the simulated region.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import curio
import orjson
from curio.sched import SchedBarrier

from crossmill.cluster import keys
from crossmill.jobs import capacity_selection
from crossmill.planning.free_capacity import FreeCapacity, assign_tasks
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body
from crossmill.wire.users import JobSpec

from . import simulated_region
from .builders import ZONES
from .fake_clock import FakeClock
from .fault_injection import clear_faults, every_request, lose_responses
from .multihost_fault_injection import MultihostFaults
from .recovery_region import recovery_settings
from .simulated_region import Region
from .simulated_worker import Worker
from .trace_determinism import OrderedTaskGroup, init_ordered_barrier, replaced_attribute
from .trace_messages import (
    MessageLog,
    RecordedMultihostRegion,
    RecordedPeerLink,
    RecordedRecoveryRegion,
    RecordedRegion,
    Recorder,
)
from .virtual_time import run_under_virtual_time

CONTROLLERS = Region.LABELS
MACHINE_TYPE = "g4"
# with these low limits, the recovery circuit breaker opens for two tasks or machines, so that
# operators have something to approve
BRAKE_LEAST, BRAKE_SHARE = 1, 0.0


@dataclass(frozen=True)
class JobRequest:
    """A job that a scenario submits; `run_s` is None for a service."""

    name: str
    run_s: float | None = None
    tasks: int = 1
    team: str = "blue"
    priority: str = "standard"
    gpus: float = 1.0
    dependencies: tuple[str, ...] = ()
    is_gang: bool = False
    one_zone: bool = False
    spread: bool = False
    may_use_spot: bool = False

    def fields(self) -> dict[str, Any]:
        """Return the fields of the submission's body that replace the defaults."""
        kind = "service" if self.run_s is None else "array"
        return {
            "cut": "gang" if self.is_gang else kind,
            "sacks": self.tasks,
            "crew": self.team,
            "precedence": self.priority,
            "cards": self.gpus,
            "awaits": list(self.dependencies),
            "oneZone": self.one_zone,
            "spread": self.spread,
            "loaners": self.may_use_spot,
        }


class SimulatedRegion:
    """The operations that scenarios can perform on any kind of region."""

    def __init__(self, region: RecordedRegion, counts: Counter[str]) -> None:
        self._region = region
        self.counts = counts

    # -- controllers -----------------------------------------------------------------

    async def start_controllers(self) -> None:
        """Start all controllers and wait until each shard has an owner."""
        await self._region.start_region(machines=0)

    async def start_provisioning(self) -> None:
        """Start the provisioners as well, so that the leader rents machines from the cloud."""
        await self._region.run_provisioners()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._region.clock.now()

    def running_controllers(self) -> list[str]:
        """Return the labels of the running controllers."""
        return [label for label in CONTROLLERS if label in self._region.nodes]

    async def kill_controller(self, controller: str) -> None:
        """Kill a controller's process if it is running."""
        if controller in self._region.nodes:
            await self._region.kill(controller)

    async def start_controller(self, controller: str) -> None:
        """Start a controller if it is not running."""
        if controller not in self._region.nodes:
            await self._region.start(controller)

    def freeze_controller(self, controller: str, for_s: float) -> None:
        """Freeze a controller's process for the given time."""
        self._region.frozen_until[controller] = self.now() + for_s

    def owner(self, shard: int) -> str | None:
        """Return the controller that owns a shard according to the stored state."""
        return self._region.owners().get(shard)

    # -- faults ----------------------------------------------------------------------

    def isolate_controller(self, controller: str) -> None:
        """Disconnect a controller from the state service and its peers."""
        self._region.isolate(controller)

    def isolate_zone(self, zone: str) -> None:
        """Disconnect a zone from the other zone and from the state service."""
        for label in CONTROLLERS:
            if ZONES[label] == zone:
                self._region.isolate(label)

        def reaches(worker: Worker, label: str) -> bool:
            return label in self._region.nodes and (worker.zone == zone) == (ZONES[label] == zone)

        self._region.can_reach = reaches

    def set_state_outage(self, is_down: bool) -> None:
        """Start or end an outage in which the state service refuses all requests."""
        self._region.state.is_down = is_down

    def refuse_controller(self, controller: str) -> None:
        """Make the state service refuse all requests of one controller."""
        self._region.refused_requests[controller] = every_request

    def lose_responses(self, number: int, executes_immediately: bool, for_s: float) -> None:
        """Leave every `number`th transaction unanswered; it is executed immediately or late."""
        lose_responses(number, self._region, 2.0, executes_immediately, for_s)

    def delay_state(self, delay_s: float) -> None:
        """Delay all requests to the state service."""
        self._region.state_delay_s = delay_s

    def compact_history(self) -> None:
        """Compact the state service's history of changes."""
        self._region.state.compact()

    def set_cloud_outage(self, is_down: bool) -> None:
        """Start or end an outage in which the cloud refuses all requests."""
        self._region.cloud.is_down = is_down

    def fail_rentals(self, rentals: int) -> None:
        """Make the next rentals fail for lack of capacity."""
        self._region.cloud.scripted_faults += ["none"] * rentals

    def clear_faults(self) -> None:
        """End all disconnections, outages, delays, freezes and losses of messages.

        Killed controllers and terminated machines are not restarted.
        """
        clear_faults(self._region)
        self._region.frozen_until.clear()
        self._region.cloud.is_down = False

    # -- workers ---------------------------------------------------------------------

    async def add_worker(self, machine: str, zone: str, shard: int, spot: bool = False) -> None:
        """Add a worker on a machine that, by its record, a leader rented earlier."""
        value = {"type": MACHINE_TYPE, "zone": zone, "spot": spot, "shard": shard}
        value |= {"at": self._region.clock.wall_time(), "retiring": "", "up": False}
        self._region.state.put(keys.machine(machine), value)
        await self._region.add_worker(machine, zone, shard, record=False)

    def workers(self) -> list[str]:
        """Return the names of the running machines in sorted order."""
        return sorted(
            name for name, worker in self._region.workers.items() if not worker.is_terminated
        )

    def busy_workers(self) -> list[str]:
        """Return the names of the running machines that have a task."""
        return [name for name in self.workers() if self._region.workers[name].tasks]

    def lose_heartbeats(self, machine: str, is_lost: bool) -> None:
        """Set whether the machine's heartbeats are lost."""
        self._region.workers[machine].heartbeats_lost = is_lost

    def lose_inbound(self, machine: str, is_lost: bool) -> None:
        """Set whether responses and commands to the machine are lost."""
        self._region.workers[machine].inbound_lost = is_lost

    def freeze_worker(self, machine: str, is_frozen: bool) -> None:
        """Set whether the machine's agent is frozen."""
        self._region.workers[machine].is_frozen = is_frozen

    def give_spot_notice(self, machine: str, remaining_s: float) -> None:
        """Make a worker report that the cloud will reclaim its spot machine in the given time."""
        self._region.workers[machine].notice_s = remaining_s

    def terminate_worker(self, machine: str) -> None:
        """Terminate a machine and its tasks."""
        worker = self._region.workers[machine]
        worker.is_terminated = True
        worker.tasks.clear()

    def repeat_heartbeats(self, machine: str, controller: str) -> None:
        """Deliver copies of a worker's earlier heartbeats to a controller."""
        if controller in self._region.nodes:
            for body in list(self._region.workers[machine].sent_heartbeats):
                self._region.deliver_worker_heartbeat(body, controller)

    # -- users -----------------------------------------------------------------------

    async def submit(self, controller: str, job: JobRequest) -> int:
        """Submit a job and return the status, 0 if the controller was killed."""
        return await self._status_of(
            self._region.submit(controller, job.name, job.run_s, **job.fields())
        )

    async def cancel(self, controller: str, job: str) -> int:
        """Cancel a job and return the status, 0 if the controller was killed."""
        return await self._status_of(self._region.cancel(controller, job))

    async def query_job(self, controller: str, job: str) -> int:
        """Query a job's state and return the status, 0 if the controller was killed."""
        return await self._status_of(self._region.query_job(controller, job))

    async def _status_of(self, status: Awaitable[int]) -> int:
        try:
            return await status
        except KeyError:
            # the controller was killed while the request waited for it to leave a freeze
            return 0

    def command_counts(self) -> Counter[str]:
        """Return the number of commands that the workers received, by verb."""
        workers = self._region.workers.values()
        return Counter(entry[2]["verb"] for worker in workers for entry in worker.received_commands)

    def violations(self) -> list[str]:
        """Return the violations that the region's invariant checker reported."""
        return list(self._region.checker.violations)


class SimulatedMultihostRegion(SimulatedRegion):
    """A region with multi-machine replicas."""

    _region: RecordedMultihostRegion

    async def start_pool(self, seed: int) -> dict[str, Callable[[], Awaitable[None]]]:
        """Start a pool of random size with replica sets.

        Returns:
            Functions that each inject a fault, by the fault's name. These faults end by themselves.
        """
        self._faults = faults = MultihostFaults(self._region, seed)
        await faults.begin()
        return {
            "machine dies": faults.crash_machine,
            "agent restarts": faults.restart_agent,
            "agent hangs": faults.freeze_machine,
            "one-way cut": faults.cut_machine_one_way,
            "machines parted": faults.cut_link,
            "owner ends": faults.restart_owner,
            "state outage": faults.stop_state_service,
            "machine drained": faults.drain_machine,
            "late heartbeats": faults.redeliver_heartbeats,
        }

    async def declare_replica_set(
        self, name: str, members: int, replicas: int, priority: int
    ) -> int:
        """Declare a replica set as an operator does, and return the status."""
        body = {
            "members": members,
            "replicas": replicas,
            "priority": priority,
            "cpus": 16.0,
            "gpus": 4.0,
            "memory_gb": 64.0,
            "image": "weights-9",
            "image_gb": 1.0,
        }
        status, _ = await self._region.operate("PUT", f"replica-sets/{name}", body)
        return int(status)

    async def poll_replica_sets(self) -> None:
        """Request the list of the replica sets from every controller."""
        for label in list(self._region.services):
            await self._region.operate("GET", "replica-sets", label=label)

    def pool_owner(self) -> str | None:
        """Return the controller that owns the pool."""
        return self.owner(self._region.multihost.pool_shard)

    def member_machines(self) -> list[str]:
        """Return the names of the machines on which members run."""
        return sorted(name for name, agent in self._region.agents.items() if agent.members)

    def give_agent_notice(self, machine: str, remaining_s: float | None) -> None:
        """Make an agent report that the cloud will reclaim its machine; None ends the notice."""
        self._region.agents[machine].notice_s = remaining_s

    def lose_zone_heartbeats(self, zone: str, is_lost: bool) -> None:
        """Set whether all heartbeats of a zone's agents are lost."""
        for agent in self._region.agents.values():
            if agent.zone == zone:
                agent.drops_heartbeats = is_lost

    async def end_all_faults(self) -> None:
        """End all faults and revive machines that died."""
        await self._faults.end_all_faults()

    def total_generations(self) -> int:
        """Return the sum of all replicas' generations."""
        rows = self._region.state.keys.values()
        return sum(row[0].get("generation", 0) for row in rows if "phase" in row[0])


class SimulatedRecoveryRegion(SimulatedRegion):
    """A region whose controllers recover their shards after failures."""

    _region: RecordedRecoveryRegion

    def copy_state(self) -> dict[str, Any]:
        """Return a copy of the state service's keys, without those attached to leases."""
        return self._region.copy_state()

    async def restore_state(self, copy: dict[str, Any]) -> None:
        """Restore the state service from a copy; no controller may be running."""
        await self._region.restore_state(copy)

    def is_steady(self) -> bool:
        """Return whether each shard has an owner that has finished its recovery."""
        return self._region.is_steady()

    async def approve_all(self, controller: str) -> int:
        """Approve, as an operator, all changes that open circuit breakers block.

        Returns:
            The number of approvals.
        """
        response = await self._region.request(controller, "GET", RECOVERY_PATH)
        if response.status != 200:
            return 0
        braked = orjson.loads(response.body).get("braked", [])
        for report in braked:
            body = approval_body(Approval(report["shard"], report["digest"]))
            await self._region.request(controller, "POST", APPROVE_PATH, body)
        return len(braked)


def _play(region: RecordedRegion, log: MessageLog, scenario: Callable[[], Any]) -> None:
    region.attach_log(log)
    with (
        replaced_attribute(SchedBarrier, "__init__", init_ordered_barrier),
        replaced_attribute(curio, "TaskGroup", OrderedTaskGroup),
        replaced_attribute(simulated_region, "PeerLink", RecordedPeerLink),
    ):
        run_under_virtual_time(region.clock, scenario)


def play_ordinary(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedRegion], Awaitable[None]],
) -> None:
    """Run a scenario in a region without optional parts."""
    clock = FakeClock()
    region = RecordedRegion(clock)

    async def run() -> None:
        await scenario(SimulatedRegion(region, counts))

    _play(region, MessageLog(recorder, clock, counts), run)


def play_multihost(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedMultihostRegion], Awaitable[None]],
) -> None:
    """Run a scenario in a region with multi-machine replicas."""
    clock = FakeClock()
    region = RecordedMultihostRegion(clock)

    async def run() -> None:
        await curio.spawn(region.run_checks, daemon=True)
        await scenario(SimulatedMultihostRegion(region, counts))

    _play(region, MessageLog(recorder, clock, counts), run)


def play_recovery(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedRecoveryRegion], Awaitable[None]],
) -> None:
    """Run a scenario in a region with recovery enabled."""
    clock = FakeClock()
    region = RecordedRecoveryRegion(
        clock, recovery_settings(brake_least=BRAKE_LEAST, brake_share=BRAKE_SHARE)
    )

    async def run() -> None:
        await scenario(SimulatedRecoveryRegion(region, counts))

    _play(region, MessageLog(recorder, clock, counts), run)


@contextmanager
def changed_placement() -> Iterator[None]:
    """Change one decision within the context: placement skips the first machine with capacity."""

    def changed_assign(
        spec: JobSpec, tasks: int, capacities: list[FreeCapacity], *rest: Any
    ) -> Any:
        return assign_tasks(spec, tasks, capacities[1:] or capacities, *rest)

    with replaced_attribute(capacity_selection, "assign_tasks", changed_assign):
        yield

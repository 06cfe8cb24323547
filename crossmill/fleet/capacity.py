"""The capacity of the fleet: what is free on its machines, and what the cloud can still provide.

`FleetCapacity` keeps in memory the data derived from the catalog, the sources without capacity, the
footprints of GPU tasks and the boot times. The demand forecast plans with it, placement reads the
free capacity of machines, and the fleet provisioner reports sources without capacity.
"""

from collections.abc import Callable, Iterable
from math import inf

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Machine
from ..net.clock import Clock
from ..planning.demand import MachineSource, MachineSourceKey, idle_capacity, slots_per_machine
from ..planning.free_capacity import FreeCapacity, is_allowed
from ..planning.gpu_footprints import GpuFootprints, gpu_footprints
from ..settings import Settings
from ..wire.cloud import MAX_RENT, MachineType
from ..wire.users import JobSpec
from .boot_times import BootTimes

# entries of deleted machines are dropped once there are this many more entries than machines
SPARE_ENTRIES = 64


class _Entry:
    """The free capacity of a machine, and the state of the machine for which it was computed."""

    __slots__ = ("capacity", "change_count", "machine", "machine_type")

    def __init__(self, machine: Machine, machine_type: MachineType, capacity: FreeCapacity) -> None:
        self.machine = machine
        self.change_count = machine.change_count
        self.machine_type = machine_type
        self.capacity = capacity

    def is_valid(self, machine: Machine, machine_type: MachineType) -> bool:
        """Return whether the machine is unchanged and no task was assigned to the capacity."""
        return (
            self.machine is machine
            and self.change_count == machine.change_count
            and self.machine_type is machine_type
            and not self.capacity.has_new_tasks
        )


class CapacityCache:
    """Caches the free capacity of machines, by ID, between scheduling rounds.

    Most machines are unchanged since the last round. An entry is reused only while its machine is
    unchanged and no task was assigned to it. A caller may modify the `FreeCapacity` that it gets
    until the next access to the cache. `build` computes the free capacity of one machine.
    """

    def __init__(
        self, machines: dict[str, Machine], build: Callable[[Machine, MachineType], FreeCapacity]
    ) -> None:
        self._machines = machines
        self._build = build
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def capacity(self, machine: Machine, machine_type: MachineType) -> FreeCapacity:
        """Return the current free capacity of the machine."""
        entry = self._entries.get(machine.id)
        if entry is None or not entry.is_valid(machine, machine_type):
            capacity = self._build(machine, machine_type)
            self._entries[machine.id] = _Entry(machine, machine_type, capacity)
            self._drop_deleted()
            return capacity
        entry.capacity.is_used = bool(machine.attempts)
        return entry.capacity

    def _drop_deleted(self) -> None:
        if len(self._entries) <= len(self._machines) + SPARE_ENTRIES:
            return
        deleted = [machine_id for machine_id in self._entries if machine_id not in self._machines]
        for machine_id in deleted:
            del self._entries[machine_id]


class FleetCapacity:
    """Free capacity of machines, and the sources from which machines can be rented."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._boot_times = BootTimes(settings, cluster.mirror)
        # the catalog from which the next two fields were derived
        self._catalog: dict[str, MachineType] | None = None
        self._limited_zones: set[str] = set()
        self._sources: list[MachineSource] = []
        # backoff ends of sources without capacity, in monotonic seconds
        self._no_capacity_until: dict[MachineSourceKey, float] = {}
        self._footprints = GpuFootprints(None, {})
        self._footprints_computed_at = -inf
        self._cache = self.new_cache()

    # -- sources ---------------------------------------------------------------------

    def sources(self) -> list[MachineSource]:
        """Return all sources of the catalog: its types by zone, on demand and spot."""
        self._apply_catalog()
        return self._sources

    def limit(self, source: MachineSource) -> int:
        """Return the most machines of the source that may be requested now."""
        blocked_until = self._no_capacity_until.get(source.key, 0.0)
        return 0 if blocked_until > self._clock.now() else MAX_RENT

    def record_no_capacity(self, source: MachineSourceKey) -> None:
        """Stop requests to the source for the backoff time: the cloud had too few machines."""
        self._no_capacity_until[source] = self._clock.now() + self._settings.no_capacity_backoff_s

    def is_out_of_capacity(self, spec: JobSpec) -> bool:
        """Return whether the cloud currently has no machine that the job may use."""
        return not any(
            self.limit(source) > 0
            for source in self.sources()
            if is_allowed(spec, source.type.name, source.zone, source.spot)
            and slots_per_machine(spec, source.type) > 0
        )

    def is_limited_zone(self, zone: str) -> bool:
        """Return whether the zone offers fewer machine types than another one.

        Replicas that are spread over the zones find the least capacity there.
        """
        self._apply_catalog()
        return zone in self._limited_zones

    def allowed_types(self, spec: JobSpec) -> list[MachineType]:
        """Return the machine types of the catalog that the job may use."""
        return [
            machine_type
            for name, machine_type in self._cluster.catalog.items()
            if spec.types is None or name in spec.types
        ]

    def _apply_catalog(self) -> None:
        """Update the data derived from the catalog, once for each catalog.

        The data is read for every machine and task; deriving it each time took most of a
        controller's time on a large fleet.
        """
        catalog = self._cluster.catalog
        if catalog is self._catalog:
            return
        self._catalog = catalog
        type_counts = dict.fromkeys(self._settings.zones, 0)
        for machine_type in catalog.values():
            for zone in machine_type.zones:
                type_counts[zone] = type_counts.get(zone, 0) + 1
        most = max(type_counts.values(), default=0)
        self._limited_zones = {zone for zone, number in type_counts.items() if number < most}
        # the first of several equal sources is chosen: put zones that offer all types first
        self._sources = [
            MachineSource(machine_type, zone, spot)
            for machine_type in catalog.values()
            for zone in sorted(machine_type.zones, key=self._limited_zones.__contains__)
            for spot in (False, True)
        ]

    # -- machines --------------------------------------------------------------------

    def has_boot_failed(
        self, machine: Machine, machine_type: MachineType, wall_time: float
    ) -> bool:
        """Return whether a booting machine is unlikely to come up."""
        return self._boot_times.has_failed(machine, machine_type, wall_time)

    def new_cache(self) -> CapacityCache:
        """Return a cache for a caller that reads the machines' free capacity repeatedly."""
        return CapacityCache(self._cluster.machines, self.free_capacity)

    def cached_capacities(
        self, cache: CapacityCache, machines: Iterable[tuple[Machine, MachineType]]
    ) -> list[FreeCapacity]:
        """Return the free capacity of the machines, valid until the next access to the cache."""
        self._apply_catalog()
        footprints = self._gpu_footprints()
        capacities = [cache.capacity(machine, machine_type) for machine, machine_type in machines]
        for capacity in capacities:
            capacity.typical_gpu_task = footprints.typical
            capacity.exclusive_gpu_task = footprints.exclusive_footprint(capacity)
        return capacities

    def free_capacity(self, machine: Machine, machine_type: MachineType) -> FreeCapacity:
        """Return the capacity that the planned tasks and a loan leave free on a machine."""
        capacity = idle_capacity(machine.id, machine_type, machine.zone, machine.spot)
        capacity.cpus -= machine.used_cpus
        capacity.gpus -= machine.used_gpus
        capacity.memory_gb -= machine.used_memory_gb
        if machine.loans:
            unused = self._cluster.machines.unused_loans(machine)
            capacity.cpus -= unused.cpus
            capacity.gpus -= unused.gpus
            capacity.memory_gb -= unused.memory_gb
        self._describe(capacity, machine)
        return capacity

    def borrowed_capacities(self, shard: int) -> list[FreeCapacity]:
        """Return the capacity that other shards lend to this one and that is free."""
        wall_time = self._clock.wall_time()
        return [
            self._borrowed_capacity(machine, machine_type, shard)
            for machine in self._cluster.machines.with_loans.values()
            if (loan := machine.loan_to(shard)) is not None
            and not loan.is_closed
            and not machine.retirement_reason
            and not machine.is_cordoned(wall_time)
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
        ]

    def _borrowed_capacity(
        self, machine: Machine, machine_type: MachineType, shard: int
    ) -> FreeCapacity:
        capacity = idle_capacity(machine.id, machine_type, machine.zone, machine.spot)
        unused = self._cluster.machines.unused_loan(machine, shard)
        capacity.cpus, capacity.gpus, capacity.memory_gb = unused
        capacity.is_borrowed = True
        self._describe(capacity, machine)
        return capacity

    def _describe(self, capacity: FreeCapacity, machine: Machine) -> None:
        """Set the properties by which placement ranks the machine."""
        capacity.images = dict(machine.images)
        capacity.is_used = bool(machine.attempts)
        capacity.in_limited_zone = self.is_limited_zone(machine.zone)
        footprints = self._gpu_footprints()
        capacity.typical_gpu_task = footprints.typical
        capacity.exclusive_gpu_task = footprints.exclusive_footprint(capacity)

    def shard_capacities(self, shard: int, wall_time: float) -> list[FreeCapacity]:
        """Return the free capacity that tasks may use on the shard's machines, booting ones too.

        Cordoned machines are left out: placement does not use them, so other ones have to be
        rented.
        """
        machines = [
            (machine, machine_type)
            for machine in self._cluster.machines.by_shard[shard].values()
            if (machine_type := self._expected_type(machine, wall_time)) is not None
        ]
        return self.cached_capacities(self._cache, machines)

    def idle_spot_capacities(self, shard: int, wall_time: float) -> list[FreeCapacity]:
        """Return the capacity that the shard's spot machines would have if they were idle."""
        return [
            idle_capacity(machine.id, machine_type, machine.zone, True)
            for machine in self._cluster.machines.by_shard[shard].values()
            if machine.spot
            and (machine_type := self._expected_type(machine, wall_time)) is not None
        ]

    def _expected_type(self, machine: Machine, wall_time: float) -> MachineType | None:
        """Return the machine's type if tasks may be expected to start on it, else None."""
        machine_type = self._cluster.catalog.get(machine.type)
        if machine_type is None or machine.retirement_reason or machine.is_cordoned(wall_time):
            return None
        if not machine.is_up and not self._boot_times.is_expected(machine, machine_type, wall_time):
            return None
        return machine_type

    def _gpu_footprints(self) -> GpuFootprints:
        """Return the footprints of GPU tasks, recomputed at most once per worker lease."""
        now = self._clock.now()
        if now - self._footprints_computed_at > self._settings.worker_lease_s:
            self._footprints_computed_at = now
            active = (job for jobs in self._cluster.jobs.active.values() for job in jobs.values())
            specs = [job.spec for job in active if job.spec is not None and job.spec.gpus > 0]
            if specs:
                self._footprints = gpu_footprints(specs, self._cluster.catalog.values())
        return self._footprints

"""All machines with a record, the attempts planned onto them, and the capacity in use."""

from collections.abc import Callable, Iterator
from typing import Any

from ..settings import Settings
from ..wire.cloud import MachineType
from .job_index import JobIndex
from .model import Job, Machine, PlannedAttempt
from .records import decode_machine

# attempts on a machine, by job ID and task index
Attempts = dict[tuple[str, int], PlannedAttempt]


class MachineIndex(dict[str, Machine]):
    """Every machine with a record, by ID and by shard.

    Only `ClusterState` modifies it, when keys of the state service change. A machine's usage is
    always the sum over the attempts planned onto it.
    """

    def __init__(
        self,
        settings: Settings,
        jobs: JobIndex,
        machine_type: Callable[[str], MachineType | None],
    ) -> None:
        super().__init__()
        self._jobs = jobs
        self._machine_type = machine_type
        self.by_shard: dict[int, dict[str, Machine]] = {
            shard: {} for shard in range(settings.shard_count)
        }
        # attempts on machines without a record, by machine ID
        self._orphaned: dict[str, Attempts] = {}

    def apply(self, machine_id: str, value: Any, version: int) -> None:
        """Apply a change of a machine's record; a value of None means deleted."""
        old_machine = self.pop(machine_id, None)
        if old_machine is not None:
            self.by_shard[old_machine.shard].pop(machine_id, None)
        if value is None:
            if old_machine is not None and old_machine.attempts:
                self._orphaned[machine_id] = old_machine.attempts
            return
        machine = decode_machine(machine_id, value, version)
        if old_machine is not None:
            machine.images = old_machine.images
        self[machine_id] = machine
        self.by_shard[machine.shard][machine_id] = machine
        machine.attempts = (
            old_machine.attempts if old_machine else self._orphaned.pop(machine_id, {})
        )
        for attempt in machine.attempts.values():
            self.add_usage(self._jobs.get_or_add(attempt.job), attempt, 1)

    def add_attempt(self, attempt: PlannedAttempt) -> None:
        """Add a planned attempt to its machine, which may have no record."""
        self._attempts_on(attempt.machine)[attempt.job, attempt.index] = attempt

    def remove_attempt(self, attempt: PlannedAttempt) -> None:
        """Remove an attempt that no plan contains any longer."""
        attempts = self._attempts_on(attempt.machine)
        attempts.pop((attempt.job, attempt.index), None)
        if attempt.machine not in self and not attempts:
            del self._orphaned[attempt.machine]

    def _attempts_on(self, machine_id: str) -> Attempts:
        machine = self.get(machine_id)
        return machine.attempts if machine else self._orphaned.setdefault(machine_id, {})

    def orphaned_attempts(self) -> Iterator[PlannedAttempt]:
        """Yield the attempts on machines that have no record because they were released.

        All attempts that ran on such a machine have ended with its release.
        """
        for attempts in self._orphaned.values():
            yield from attempts.values()

    def add_job_usage(self, job: Job, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the usage of all of the job's attempts."""
        for attempt in job.attempts():
            self.add_usage(job, attempt, sign)

    def add_usage(self, job: Job, attempt: PlannedAttempt, sign: int) -> None:
        """Add (sign 1) or subtract (sign -1) the attempt's usage on its machine.

        Do nothing while the record of the machine or of the job is unknown.
        """
        machine = self.get(attempt.machine)
        if machine is None or job.spec is None:
            return
        machine.change_count += 1
        machine.used_cpus += sign * job.spec.cpus
        machine.used_gpus += sign * job.spec.gpus
        machine.used_memory_gb += sign * job.spec.memory_gb
        machine.images.pop(job.spec.image, None)
        machine.images[job.spec.image] = job.spec.image_gb
        self._evict_images(machine)

    def _evict_images(self, machine: Machine) -> None:
        """Remove the least recently used images that exceed the machine's cache size.

        If an evicted image were still expected here, moving a replica to this machine would incur
        an unexpected download.
        """
        machine_type = self._machine_type(machine.type)
        if machine_type is None:
            return
        size = sum(machine.images.values())
        if size <= machine_type.cache_gb:
            return
        used = self._images_in_use(machine)
        newest = next(reversed(machine.images))
        for image in list(machine.images):
            if size <= machine_type.cache_gb:
                break
            if image not in used and image != newest:
                size -= machine.images.pop(image)

    def _images_in_use(self, machine: Machine) -> set[str]:
        return {
            job.spec.image
            for attempt in machine.attempts.values()
            if (job := self._jobs.get(attempt.job)) is not None and job.spec is not None
        }

    def task_counts_by_zone(self, job: Job) -> dict[str, int]:
        """Return the number of planned attempts of the job by zone, including ended ones."""
        counts: dict[str, int] = {}
        for attempt in job.attempts():
            machine = self.get(attempt.machine)
            if machine is not None:
                counts[machine.zone] = counts.get(machine.zone, 0) + 1
        return counts

"""All machines with a record, the attempts planned onto them, and the capacity in use."""

from collections.abc import Callable, Iterator
from typing import Any

from ..settings import Settings
from ..wire.cloud import MachineType
from .job_index import JobIndex
from .model import NO_RESOURCES, Job, Machine, PlannedAttempt, Resources
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
        # machines whose record contains loans, by machine ID
        self.with_loans: dict[str, Machine] = {}
        # attempts on machines without a record, by machine ID
        self._orphaned: dict[str, Attempts] = {}

    def apply(self, machine_id: str, value: Any, version: int) -> None:
        """Apply a change of a machine's record; a value of None means deleted."""
        old_machine = self.pop(machine_id, None)
        if old_machine is not None:
            self.by_shard[old_machine.shard].pop(machine_id, None)
            self.with_loans.pop(machine_id, None)
        if value is None:
            if old_machine is not None and old_machine.attempts:
                self._orphaned[machine_id] = old_machine.attempts
            return
        machine = decode_machine(machine_id, value, version)
        if old_machine is not None:
            machine.images = old_machine.images
            _record_reduced_loans(machine, old_machine)
        self[machine_id] = machine
        if machine.loans:
            self.with_loans[machine_id] = machine
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

    def commanding_shard(self, attempt: PlannedAttempt) -> int | None:
        """Return the shard whose owner commands the attempt, and records its end.

        It is the machine's shard. Of an attempt on a machine without a record only the end is left
        to be recorded, which the job's shard does. None if neither record is known.
        """
        machine = self.get(attempt.machine)
        if machine is not None:
            return machine.shard
        job = self._jobs.get(attempt.job)
        return job.shard if job is not None else None

    def may_be_commanded_by(self, attempt: PlannedAttempt, shard: int) -> bool:
        """Return whether the shard's owner may command the attempt; true if that is unknown."""
        machine = self.get(attempt.machine)
        if machine is not None:
            return machine.shard == shard
        job = self._jobs.get(attempt.job)
        return job is None or not job.has_record or job.shard == shard

    def guest_jobs(self, shard: int) -> list[Job]:
        """Return the jobs of other shards that have attempts on machines lent by the shard."""
        guests = {
            attempt.job: job
            for machine in self.with_loans.values()
            if machine.shard == shard
            for attempt in machine.attempts.values()
            if (job := self._jobs.get(attempt.job)) is not None
            and job.spec is not None
            and job.shard != shard
        }
        return list(guests.values())

    def has_tasks_of(self, machine: Machine, shard: int) -> bool:
        """Return whether a task of the shard's jobs is planned on the machine."""
        return any(
            (job := self._jobs.get(attempt.job)) is not None
            and job.has_record
            and job.shard == shard
            for attempt in machine.attempts.values()
        )

    def usage_by_shard(self, machine: Machine, shard: int) -> Resources:
        """Return the resources that tasks of the shard's jobs use on the machine."""
        cpus, gpus, memory_gb = NO_RESOURCES
        for attempt in machine.attempts.values():
            job = self._jobs.get(attempt.job)
            if job is not None and job.spec is not None and job.shard == shard:
                cpus += job.spec.cpus
                gpus += job.spec.gpus
                memory_gb += job.spec.memory_gb
        return Resources(cpus, gpus, memory_gb)

    def unused_loan(self, machine: Machine, shard: int) -> Resources:
        """Return the resources lent to the shard that its tasks do not use."""
        loan = machine.loan_to(shard)
        if loan is None or loan.is_closed:
            return NO_RESOURCES
        used = self.usage_by_shard(machine, shard)
        return Resources(*(max(0.0, left) for left in loan.resources.subtract(used)))

    def unused_loans(self, machine: Machine) -> Resources:
        """Return the resources lent to other shards that their tasks do not use."""
        total = NO_RESOURCES
        for loan in machine.loans:
            total = total.add(self.unused_loan(machine, loan.shard))
        return total

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


def _record_reduced_loans(machine: Machine, old_machine: Machine) -> None:
    """Note the version of the machine's record if it grants less than the record before it."""
    machine.loan_reduced_at = old_machine.loan_reduced_at
    for old_loan in old_machine.loans:
        loan = machine.loan_to(old_loan.shard)
        if loan is None or loan.grants_less_than(old_loan):
            machine.loan_reduced_at = machine.version

"""The contents of the state service as jobs, plans, machines and controllers.

The mirror notifies `ClusterState` of each change of a key; all other components only read it. It
holds stored state only: components keep their own conclusions and intentions.
"""

from collections.abc import Callable
from typing import Any

from ..settings import Settings, StateLimits
from ..state.mirror import Mirror
from ..wire.cloud import MachineType
from . import keys
from .job_index import JobIndex
from .layout import PlanLayout
from .machine_index import MachineIndex
from .model import (
    CancellationNote,
    ControllerRecord,
    FeatureNote,
    Job,
    JobEnd,
    Level,
    OwnershipRecord,
)
from .plan_index import PlanIndex
from .records import decode_catalog, decode_controller, decode_job, decode_level

# applies a change of a key: the key (handlers by prefix: without the prefix), its value (None:
# deleted), its version
KeyHandler = Callable[[str, Any, int], None]


class ControllerIndex(dict[str, ControllerRecord]):
    """The record of every controller whose lease has not expired, by label.

    Only `ClusterState` modifies it, when keys of the state service change.
    """

    def __init__(self) -> None:
        super().__init__()
        self.leader: str | None = None
        # numbers of writes and deletions of the controllers' keys, by label
        self.key_change_counts: dict[str, int] = {}
        # the notes of the feature levels that the controllers support, by label
        self.feature_notes: dict[str, FeatureNote] = {}

    def apply(self, label: str, value: Any) -> None:
        """Apply a change of a controller's record; a value of None means deleted or expired."""
        self.key_change_counts[label] = self.key_change_counts.get(label, 0) + 1
        if value is None:
            self.pop(label, None)
        else:
            self[label] = decode_controller(value)

    def apply_feature_note(self, label: str, value: Any, version: int) -> None:
        """Apply a change of the note of the feature level that a controller supports."""
        if value is None:
            self.feature_notes.pop(label, None)
        else:
            self.feature_notes[label] = FeatureNote(value["level"], version)


class ClusterState:
    """The stored state of the fleet, kept up to date by the mirror.

    Any component may read its indexes; only changes of keys modify them.
    """

    def __init__(self, mirror: Mirror, settings: Settings) -> None:
        self._settings = settings
        self.mirror = mirror
        self.jobs = JobIndex(settings)
        self.machines = MachineIndex(settings, self.jobs, self._machine_type)
        self.plans = PlanIndex(
            PlanLayout(settings.state_limits.chunk_tasks), self.jobs, self.machines
        )
        self.controllers = ControllerIndex()
        # ownership records by shard; a shard without an owner has no entry
        self.shard_owners: dict[int, OwnershipRecord] = {}
        # notes by job ID; each job is to be cancelled once every controller that must know of the
        # cancellation has read the note
        self.cancellation_notes: dict[str, CancellationNote] = {}
        self.level: Level | None = None
        self.catalog: dict[str, MachineType] = {}
        self._prefix_handlers: dict[str, KeyHandler] = {
            keys.JOB: self._on_job,
            keys.PLAN: self._on_plan,
            keys.MACHINE: self.machines.apply,
            keys.SHARD: self._on_shard,
            keys.CONTROLLER: self._on_controller,
            keys.CANCELLATION_NOTE: self._on_cancellation_note,
            keys.FEATURE_NOTE: self.controllers.apply_feature_note,
        }
        self._key_handlers: dict[str, KeyHandler] = {
            keys.LEVEL: self._on_level,
            keys.LEADER: self._on_leader,
            keys.CATALOG: self._on_catalog,
        }
        mirror.add_listener(self._on_key)

    @property
    def layout(self) -> PlanLayout:
        """The division of plans into chunks at the current feature level."""
        return self.plans.layout

    @property
    def limits(self) -> StateLimits:
        """The limits of the state service that currently apply to writes."""
        settings = self._settings
        return settings.state_limits if self.level is None else settings.lowest_state_limits

    def has_level(self, number: int) -> bool:
        """Return whether the cluster's feature level has been raised at least to the number."""
        return self.level is not None and self.level.number >= number

    def token_counter(self) -> int:
        """Return the highest fencing token that an owner or a machine may have so far."""
        counter = self.mirror.value(keys.TOKEN)
        return int(counter["n"]) if counter is not None else 0

    def write_load(self, shard: int) -> int:
        """Return the number of records of running job arrays that the shard's owner updates."""
        return sum(
            max(1, len(job.chunks))
            for job in self.jobs.active[shard].values()
            if job.spec is not None and job.spec.kind != "service" and not job.is_blocked
        )

    def use_catalog(self, catalog: dict[str, MachineType]) -> None:
        """Use the cloud's catalog, by type name, until the stored catalog is read."""
        self.catalog = catalog

    def apply_archived_end(self, job: Job, end: str, shard: int) -> None:
        """Apply the end of an archived job of which only a plan is known.

        The shard's owner then stops the job's tasks and deletes the plan.
        """
        job.end, job.shard = JobEnd(end), shard
        self.jobs.update_sets(job)

    def _machine_type(self, name: str) -> MachineType | None:
        return self.catalog.get(name)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        prefix = key[: keys.PREFIX_LENGTH]
        handler = self._prefix_handlers.get(prefix)
        if handler is not None:
            handler(key[keys.PREFIX_LENGTH :], value, version)
            return
        handler = self._key_handlers.get(key)
        if handler is not None:
            handler(key, value, version)

    def _on_job(self, job_id: str, value: Any, version: int) -> None:
        if value is None:
            self._on_job_deleted(job_id)
            return
        job, record = self.jobs.get_or_add(job_id), decode_job(value)
        is_new = self.jobs.apply_record(job, record, version)
        if is_new:
            self.machines.add_job_usage(job, 1)
        self.jobs.apply_end(job, record, is_new)

    def _on_job_deleted(self, job_id: str) -> None:
        """Remove the record of an archived job, whose plan is deleted too.

        When all keys are read again, the two deletions may arrive in either order. The plan's
        attempts stay indexed by machine until the plan's deletion arrives; until then the job is
        kept without a record.
        """
        job = self.jobs.pop(job_id, None)
        if job is None or job.spec is None:
            return
        self.jobs.remove_record(job)
        if job.chunks or job.staged:
            self.machines.add_job_usage(job, -1)
            self.plans.move_plan(job, self.jobs.keep_plan_only(job))

    def _on_plan(self, path: str, value: Any, version: int) -> None:
        job_id, _, chunk = path.rpartition("/")
        self.plans.apply(job_id, chunk, value, version)

    def _on_shard(self, index: str, value: Any, version: int) -> None:
        if value is None:
            self.shard_owners.pop(int(index), None)
        else:
            record = OwnershipRecord(value["owner"], value["token"], version)
            self.shard_owners[int(index)] = record

    def _on_controller(self, label: str, value: Any, _version: int) -> None:
        self.controllers.apply(label, value)

    def _on_cancellation_note(self, job_id: str, value: Any, version: int) -> None:
        if value is None:
            self.cancellation_notes.pop(job_id, None)
        else:
            self.cancellation_notes[job_id] = CancellationNote(version, value["at"])

    def _on_level(self, _key: str, value: Any, _version: int) -> None:
        if value:
            self.level = decode_level(value)
            self.plans.layout = PlanLayout(self.level.legacy_tasks, self.level.segment_tasks)

    def _on_leader(self, _key: str, value: Any, _version: int) -> None:
        self.controllers.leader = value["owner"] if value else None

    def _on_catalog(self, _key: str, value: Any, _version: int) -> None:
        if value:
            self.catalog = decode_catalog(value)

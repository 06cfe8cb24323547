"""HeartbeatHandler of workers: who answers them, and with which orders.

Orders come from comparing the newest report with the durable plan, so they need no memory and
can be repeated. Only responses carry them: the worker drops a response that comes late.
"""

import logging
from collections.abc import Collection
from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.membership import Membership
from ..cluster.model import AttemptId, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..cluster.partition_keepalive import PartitionKeepalive
from ..net.clock import Clock
from ..settings import Settings
from ..wire.workers import (
    MAX_ORDERS,
    Command,
    TaskStatus,
    WorkerHeartbeat,
    cached_task_status_reader,
)
from .attempt_outcomes import AttemptOutcome, AttemptOutcomes, EndReason, StopReason
from .order_gate import OrderGate
from .views import HeartbeatVerdict, WorkerView

log = logging.getLogger(__name__)


class HeartbeatResponse(NamedTuple):
    """How a report is answered."""

    status: int
    token: int = 0
    commands: tuple[Command, ...] = ()
    redirect: str | None = None


class HeartbeatHandler:
    """The views of all machines of the shards this controller acts for."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        keepalive: PartitionKeepalive,
        expiry_proof: LeaseExpiryProof,
        gate: OrderGate | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._keepalive = keepalive
        self._expiry_proof = expiry_proof
        self._views: dict[str, WorkerView] = {}
        self.read_task_status = cached_task_status_reader(settings.max_cached_task_statuses)
        self.outcomes = AttemptOutcomes(cluster)
        self.stop_requests: dict[AttemptId, StopReason] = {}
        # starts sent straight to a worker and not answered, with the token they carried: they
        # may still be executed until the worker has seen a higher token or begun a new session
        self.unacknowledged: dict[str, dict[AttemptId, int]] = {}
        # machines whose move to another shard is being written: whoever gets one counts on
        # nobody else answering it, so it is not answered from before the write is sent
        self._transferring: set[str] = set()
        # reports of running tasks that no plan holds: each is stopped
        self.unplanned_stops = 0
        # holds back orders, placements and returns while a shard recovers; None: nothing is held
        self.gate = gate
        membership.subscribe_lost(self._forget)

    def _forget(self, shard: int) -> None:
        """Beliefs of a shard end with our right to act for it."""
        for machine_id in list(self._views):
            machine = self._cluster.machines.get(machine_id)
            if machine is None or machine.shard == shard:
                del self._views[machine_id]
                # whoever acts next has a higher token, and believes only those who saw it
                self.unacknowledged.pop(machine_id, None)
        self.outcomes.end_term(shard)
        for attempt in list(self.stop_requests):
            job = self._cluster.jobs.get(attempt[0])
            if job is None or job.shard == shard:
                del self.stop_requests[attempt]

    def view_of(self, machine: Machine, ownership: ShardOwnership) -> WorkerView:
        """Before the first answer of ours an earlier owner may have answered, at the latest
        when we took over, and no worker was ours before we knew its machine. One that was
        given away and came back is begun anew.
        """
        view = self._views.get(machine.id)
        if view is None or view.move != machine.token:
            view = WorkerView(machine.id, self._clock.now(), move=machine.token)
            self._views[machine.id] = view
        return view

    def find_view(self, machine_id: str) -> WorkerView | None:
        """What is known of the machine, if anything."""
        return self._views.get(machine_id)

    def handle(self, heartbeat: WorkerHeartbeat) -> HeartbeatResponse:
        """How a report is answered."""
        self._membership.reachability.record_heartbeat()
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            return self._elsewhere()
        authority = self._membership.heartbeat_authority(machine.shard)
        if self.is_transferring(machine.id):
            return self._elsewhere()
        if authority is None:
            kept = self._keepalive.keep_alive(machine, heartbeat)
            if kept is not None:
                # an owner that answers as its zone's deputy may act by the same lease again
                # once the trouble is over: this answer renewed the worker's lease all the same
                if (view := self._views.get(machine.id)) is not None:
                    view.answered_at = self._clock.now()
                return HeartbeatResponse(200, heartbeat.token, tuple(kept[:MAX_ORDERS]))
            known = self._cluster.shard_owners.get(machine.shard)
            elsewhere = known is not None and known.owner != self._settings.label
            return self._elsewhere(known.owner if known and elsewhere else None)
        ownership = authority.ownership
        token = self.token(machine, ownership)
        if heartbeat.token > token:
            # the worker would drop our answer, and its lease would run out meanwhile
            self._membership.request_higher_token(machine.shard, heartbeat.token)
            detour = self._membership.owner_selection.reachable_alternative()
            return (
                HeartbeatResponse(503)
                if detour is None
                else HeartbeatResponse(421, redirect=detour)
            )
        view = self.view_of(machine, ownership)
        verdict = view.apply_heartbeat(heartbeat, token, self._clock.now())
        if verdict is HeartbeatVerdict.STALE:
            return HeartbeatResponse(200, token)
        view.answered_at = self._clock.now()
        view.answered = True
        if verdict is HeartbeatVerdict.UNCONFIRMED_TOKEN:
            return HeartbeatResponse(200, token)
        self._acknowledge(machine.id, heartbeat)
        orders = self._orders(machine, view, ownership)
        if not authority.may_command:
            # only kept alive; nothing is begun meanwhile, and nothing ended but what is over
            # for good: to end that is right whoever says it, and whenever
            orders = [c for c in orders if c.op == "stop" and self._job_ended(c.task)]
        if self.gate is not None:
            orders = self.gate.screen(machine, view, ownership, orders)
        # cut only now: what is held back must not keep what is urgent out of the answer
        orders = orders[:MAX_ORDERS]
        self._count_unplanned(machine, orders)
        return HeartbeatResponse(200, token, tuple(orders))

    def _elsewhere(self, owner: str | None = None) -> HeartbeatResponse:
        """The worker is sent to its machine's owner; where none is known it goes round the
        controllers by itself, past those that are missing.
        """
        return HeartbeatResponse(
            421, redirect=owner or self._membership.owner_selection.reachable_alternative()
        )

    def _count_unplanned(self, machine: Machine, orders: list[Command]) -> None:
        for order in orders:
            job, _, index = order.task.rpartition("/")
            attempt = machine.attempts.get((job, int(index)))
            if order.op != "stop" or (attempt is not None and attempt.number == order.attempt):
                continue
            self.unplanned_stops += 1
            log.info(
                "unplanned task stopped job=%s task=%s attempt=%d machine=%s total=%d",
                job,
                index,
                order.attempt,
                machine.id,
                self.unplanned_stops,
            )

    def _job_ended(self, task: str) -> bool:
        job = self._cluster.jobs.get(task.rpartition("/")[0])
        return job is not None and job.has_ended

    @staticmethod
    def token(machine: Machine, ownership: ShardOwnership) -> int:
        """The token under which its shard's owner speaks to the machine."""
        return max(ownership.token, machine.token)

    def forget_machine(self, machine_id: str) -> None:
        """The machine is another shard's: what was believed of it ends."""
        self._views.pop(machine_id, None)
        self.unacknowledged.pop(machine_id, None)

    def is_transferring(self, machine_id: str) -> bool:
        """Whether the machine's move to another shard is being written."""
        return machine_id in self._transferring

    def begin_transfers(self, machine_ids: Collection[str]) -> None:
        """These machines are not answered until their moves' fate is known."""
        self._transferring.update(machine_ids)

    def end_transfers(self, machine_ids: Collection[str]) -> None:
        """The fate of these machines' moves is known."""
        self._transferring.difference_update(machine_ids)

    def request_stop(self, attempt: PlannedAttempt, reason: StopReason) -> None:
        """The attempt is to be stopped; the answers to its worker's reports say so from now on."""
        self.stop_requests[attempt.id] = reason

    def is_stopping(self, attempt: PlannedAttempt) -> bool:
        """Whether the attempt is to be stopped, to make room or to drain its machine."""
        return attempt.id in self.stop_requests

    def forget_stop(self, attempt: PlannedAttempt) -> None:
        """The attempt is over."""
        self.stop_requests.pop(attempt.id, None)

    def apply_command_response(self, heartbeat: WorkerHeartbeat) -> None:
        """The answer to a direct command: a report, but one that renews no lease."""
        machine = self._cluster.machines.get(heartbeat.machine)
        ownership = (
            self._membership.active_ownership(machine.shard) if machine is not None else None
        )
        if machine is None or ownership is None:
            return
        view = self.view_of(machine, ownership)
        if self.is_transferring(machine.id):
            return
        if view.apply_status(heartbeat, self.token(machine, ownership), self._clock.now()):
            self._acknowledge(machine.id, heartbeat)
            self._orders(machine, view, ownership, direct=True)

    def _acknowledge(self, machine_id: str, heartbeat: WorkerHeartbeat) -> None:
        unacknowledged = self.unacknowledged.get(machine_id)
        if unacknowledged:
            for attempt, token in list(unacknowledged.items()):
                if heartbeat.token > token:
                    del unacknowledged[attempt]
        if not unacknowledged:
            self.unacknowledged.pop(machine_id, None)

    def _may_still_begin(self, machine: Machine, job: str, index: int, attempt: int) -> bool:
        """True, and a higher token asked for, while a start of the attempt can still arrive."""
        if AttemptId(job, index, attempt) not in self.unacknowledged.get(machine.id, {}):
            return False
        self._membership.request_higher_token(machine.shard)
        return True

    def _orders(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, direct: bool = False
    ) -> list[Command]:
        """What the worker has to do for its tasks to be those of the plan. AttemptOutcomes made on
        the
        way wait to be written.
        """
        orders: list[Command] = []
        for key, task in view.tasks.items():
            attempt = machine.attempts.get(key)
            if attempt is not None and (attempt.number, attempt.session) == (
                task.attempt,
                view.session,
            ):
                self._on_planned(attempt, task, view, ownership, orders)
            else:
                self._on_unplanned(machine, task, orders)
        for key, attempt in machine.attempts.items():
            if key not in view.tasks or view.tasks[key].attempt != attempt.number:
                self._on_absent(machine, attempt, view, ownership, orders, direct)
        return orders

    def _on_unplanned(self, machine: Machine, task: TaskStatus, orders: list[Command]) -> None:
        """The plan does not hold this attempt: its outcome is durable, or it must not be here."""
        name = f"{task.job}/{task.index}"
        if task.state != "exited":
            orders.append(Command("stop", name, task.attempt, 0.0))
        elif not self._may_still_begin(machine, task.job, task.index, task.attempt):
            # after this a start still under way would run it once more
            orders.append(Command("forget", name, task.attempt))

    def _on_absent(
        self,
        machine: Machine,
        attempt: PlannedAttempt,
        view: WorkerView,
        ownership: ShardOwnership,
        orders: list[Command],
        direct: bool,
    ) -> None:
        """The worker does not have this planned attempt."""
        if attempt.session < view.session:
            self.unacknowledged.get(machine.id, {}).pop(attempt.id, None)
            self.outcomes.record(AttemptOutcome(attempt, EndReason.SESSION_OVER, ownership.term))
            return
        if (attempt.job, attempt.index) in view.tasks or attempt.session != view.session:
            return
        if not self._is_known(attempt):
            # a record read late, or a contradiction: nothing begins, and nothing is over
            return
        if self.may_start(attempt, machine):
            orders.append(Command("start", f"{attempt.job}/{attempt.index}", attempt.number))
            return
        if self._may_still_begin(machine, attempt.job, attempt.index, attempt.number) or direct:
            # an answer to a direct command was made while the answer to the last report, which
            # may hold the start, was still on its way
            return
        # a newer report without it: no start sent before can still arrive
        self.outcomes.record(AttemptOutcome(attempt, EndReason.NOT_STARTED, ownership.term))

    def _is_known(self, attempt: PlannedAttempt) -> bool:
        job = self._cluster.jobs.get(attempt.job)
        if job is not None and (job.has_record or job.has_ended):
            return True
        log.debug(
            "planned attempt without a job record job=%s task=%d machine=%s",
            attempt.job,
            attempt.index,
            attempt.machine,
        )
        return False

    def may_start(self, attempt: PlannedAttempt, machine: Machine) -> bool:
        """Whether a start of the attempt may still be sent."""
        return not self.outcomes.is_concluded(attempt) and not self._unwanted(attempt, machine)

    def _unwanted(self, attempt: PlannedAttempt, machine: Machine) -> bool:
        job = self._cluster.jobs.get(attempt.job)
        if job is None or not job.is_active or machine.retiring:
            return True
        return self.is_stopping(attempt)

    def _on_planned(
        self,
        attempt: PlannedAttempt,
        task: TaskStatus,
        view: WorkerView,
        ownership: ShardOwnership,
        orders: list[Command],
    ) -> None:
        key = (attempt.job, attempt.index)
        if task.state == "exited":
            since = view.running_since.get(key)
            took = None if since is None else self._clock.now() - since
            self.outcomes.record(AttemptOutcome(attempt, EndReason(task.why), ownership.term, took))
            return
        job = self._cluster.jobs.get(attempt.job)
        if job is None or job.has_ended:
            orders.append(Command("stop", f"{attempt.job}/{attempt.index}", attempt.number, 0.0))
            return
        spec = job.spec
        saves = spec is not None and spec.checkpoint_s > 0
        if self.is_stopping(attempt):
            if task.state != "saving":
                orders.append(self.stop_command(attempt))
        elif view.notice_at is not None and saves and spec is not None:
            # saved as late as is safe, so that the machine's last seconds count
            left = view.notice_at - self._clock.now()
            if (
                task.state == "running"
                and left < spec.save_s + 3 * self._settings.heartbeat_interval_s
            ):
                orders.append(self.stop_command(attempt))

    def stop_command(self, attempt: PlannedAttempt) -> Command:
        """The command that stops a planned attempt, with time to save if it can."""
        job = self._cluster.jobs.get(attempt.job)
        saves = job is not None and job.spec is not None and job.spec.checkpoint_s > 0
        grace = job.spec.save_s * 2 if job is not None and job.spec is not None and saves else 0.0
        return Command("stop", f"{attempt.job}/{attempt.index}", attempt.number, grace)

    def expire_lease(self, machine: Machine, ownership: ShardOwnership) -> None:
        """A worker that nobody can have answered for a lease has killed its tasks."""
        view = self.view_of(machine, ownership)
        if (
            not machine.attempts
            or self._clock.now() - view.lease_renewed_at <= self._settings.heartbeat_timeout_s
        ):
            return
        self._expiry_proof.request_attestation(machine)
        preconditions = self._expiry_proof.preconditions(machine, view.lease_renewed_at)
        if preconditions is not None:
            for attempt in machine.attempts.values():
                if attempt.session <= view.session or not view.trusted:
                    outcome = AttemptOutcome(
                        attempt, EndReason.LEASE_OVER, ownership.term, preconditions=preconditions
                    )
                    self.outcomes.record(outcome)

"""The handling of workers' heartbeats: authority, responses and commands.

The owner of the machine's shard responds to a heartbeat with commands. A controller in a
partitioned zone may only keep the worker alive. Any other controller redirects the worker. The
commands result from the reconciliation of the worker's status with the plan. The handler sends them
only in responses, since the worker discards a late response. `CommandSender` also sends starts and
stops directly.

The handler owns the views of all workers that have sent a heartbeat to this controller. The
application calls it for each heartbeat. The scheduling loop and the machine maintenance read the
views.
"""

import logging
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import Machine, PlannedAttempt
from ..cluster.ownership import HeartbeatAuthority, ShardOwnership
from ..cluster.partition_protocol import PartitionProtocol
from ..net import HttpStatus
from ..net.clock import Clock
from ..settings import Settings
from ..wire.workers import (
    Command,
    CommandKind,
    WorkerHeartbeat,
    cached_task_status_reader,
)
from .attempt_outcomes import StopReason
from .lease_expiry import WorkerLeaseExpiry
from .reconciliation import (
    Reconciler,
    is_stop_of_ended_job,
    limit_commands,
    stops_of_ended_jobs,
)
from .redirects import WorkerRedirects
from .views import HeartbeatVerdict, WorkerView

# only the type checker needs the protocol, so the program does not load it at start
if TYPE_CHECKING:
    from .command_gate import CommandGate

log = logging.getLogger(__name__)

# looked up once: an enum member lookup takes 0.3 us in Python 3.11, here for each heartbeat
_STALE = HeartbeatVerdict.STALE
_UNCONFIRMED_TOKEN = HeartbeatVerdict.UNCONFIRMED_TOKEN
_FORGET = CommandKind.FORGET


class HeartbeatResponse(NamedTuple):
    """The response to a heartbeat.

    Attributes:
        status: The HTTP status.
        token: The fencing token of the commands.
        commands: The commands for the worker: all stops of tasks of ended jobs, and others up to
            `MAX_COMMANDS` in all.
        redirect: The controller to which the worker should send its heartbeats instead.
    """

    status: int
    token: int = 0
    commands: tuple[Command, ...] = ()
    redirect: str | None = None


def _accept(
    token: int, commands: list[Command], has_ended: Callable[[str], bool]
) -> HeartbeatResponse:
    """Return a response that renews a worker's lease."""
    return HeartbeatResponse(HttpStatus.OK, token, tuple(limit_commands(commands, has_ended)))


def _redirect(controller: str | None) -> HeartbeatResponse:
    """Return a redirect; without a controller, the worker tries them one after the other."""
    return HeartbeatResponse(HttpStatus.MISDIRECTED_REQUEST, redirect=controller)


class HeartbeatHandler:
    """Responds to heartbeats and keeps the views of the workers that sent them.

    Attributes:
        reconciler: Compares the workers' statuses with the plan.
        outcomes: The outcomes of attempts that are not yet written.
        stop_requests: The attempts to be stopped.
        read_task_status: Parses one task of a heartbeat, with a cache of earlier results.
        gate: Restricts commands and placements while a shard recovers; None for no restriction.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        partition_protocol: PartitionProtocol,
        gate: "CommandGate | None" = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._keepalive = partition_protocol.keepalive
        self._redirects = WorkerRedirects(
            settings, cluster, membership.owner_selection, partition_protocol.partition_detector
        )
        self._views: dict[str, WorkerView] = {}
        self.read_task_status = cached_task_status_reader(settings.max_cached_task_statuses)
        self.reconciler = Reconciler(settings, clock, cluster)
        self.outcomes = self.reconciler.outcomes
        self.stop_requests = self.reconciler.stop_requests
        self._lease_expiry = WorkerLeaseExpiry(
            settings, clock, partition_protocol.expiry_proof, self.outcomes
        )
        # Machines whose transfer to another shard is being written. The new owner relies on being
        # the only controller that responds to them, so this controller stops responding before
        # it sends the write.
        self._transferring: set[str] = set()
        self.gate = gate
        membership.subscribe_lost(self._end_ownership)

    def _end_ownership(self, shard: int) -> None:
        """Drop all in-memory state of a shard that this controller has lost."""
        for machine_id in list(self._views):
            machine = self._cluster.machines.get(machine_id)
            if machine is None or machine.shard == shard:
                # the next owner has a higher token and trusts only workers that have seen it
                self.forget_machine(machine_id)
        self.reconciler.end_ownership(shard)

    # -- views -----------------------------------------------------------------------

    def ensure_view(self, machine: Machine) -> WorkerView:
        """Return the view of a machine, creating it if the machine is new or has returned.

        An earlier owner may have responded to the worker until this controller took over, so a new
        view has the current time as that of the last response.
        """
        view = self._views.get(machine.id)
        if view is None or view.machine_token != machine.token:
            view = WorkerView(machine.id, machine.token, self._clock.now())
            self._views[machine.id] = view
        return view

    def find_view(self, machine_id: str) -> WorkerView | None:
        """Return the view of a machine, or None if it has no view."""
        return self._views.get(machine_id)

    def forget_machine(self, machine_id: str) -> None:
        """Drop the state of a machine that now belongs to another shard."""
        self._views.pop(machine_id, None)

    # -- authority -------------------------------------------------------------------

    def handle(self, heartbeat: WorkerHeartbeat) -> HeartbeatResponse:
        """Return the response to a heartbeat."""
        self._membership.reachability.record_heartbeat()
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            return _redirect(self._redirects.for_unknown_owner())
        authority = self._membership.heartbeat_authority(machine.shard)
        if self.is_transferring(machine.id):
            return _redirect(self._redirects.for_unknown_owner())
        if authority is None:
            return self._respond_without_ownership(machine, heartbeat)
        return self._respond_as_owner(machine, heartbeat, authority)

    def _respond_as_owner(
        self, machine: Machine, heartbeat: WorkerHeartbeat, authority: HeartbeatAuthority
    ) -> HeartbeatResponse:
        """Respond to a worker of an owned shard; without full authority, only keep it alive."""
        ownership = authority.ownership
        first_token = self.first_token(machine, ownership)
        view = self.ensure_view(machine)
        token = view.command_token(first_token)
        if heartbeat.token > token:
            return self._respond_to_newer_token(machine, heartbeat)
        verdict = view.apply_heartbeat(heartbeat, first_token, self._clock.now())
        if verdict is not _STALE:
            view.last_response_at = self._clock.now()
            view.has_been_sent_response = True
        if verdict is _STALE or verdict is _UNCONFIRMED_TOKEN:
            # nothing else may follow from a heartbeat that may be older than the ownership, but the
            # response renews the lease and may be the last one under this token
            commands = stops_of_ended_jobs(heartbeat.tasks, self._has_job_ended)
            if verdict is _UNCONFIRMED_TOKEN:
                view.log_early_stops(heartbeat, token, commands)
        else:
            commands = self._commands(machine, view, authority)
            # the commands may need a higher token than before
            token = max(token, view.raised_token)
        return _accept(token, commands, self._has_job_ended)

    def _commands(
        self, machine: Machine, view: WorkerView, authority: HeartbeatAuthority
    ) -> list[Command]:
        """Return the commands for a worker that has confirmed the owner's token."""
        ownership = authority.ownership
        commands = self.reconciler.commands(machine, view, ownership)
        if not authority.may_command:
            commands = [c for c in commands if is_stop_of_ended_job(c, self._has_job_ended)]
        elif view.must_refuse_starts and not self._raise_token(machine, view, ownership):
            commands = [c for c in commands if c.op is not _FORGET]
        if self.gate is not None:
            commands = self.gate.filter_commands(machine, view, ownership, commands)
        if commands:
            self.reconciler.log_unplanned_stops(machine, commands)
            view.log_forgets(self.command_token(machine, view, ownership), commands)
        return commands

    def _raise_token(self, machine: Machine, view: WorkerView, ownership: ShardOwnership) -> bool:
        """Raise the worker's token, if needed, above that of all starts sent to it directly.

        The worker accepts the token of the response before it executes the response's commands, so
        it never forgets an attempt while it would still execute a start of it.

        Returns:
            Whether the token suffices. Otherwise a higher one is requested for the whole shard.
        """
        first_token = self.first_token(machine, ownership)
        token = view.direct_start_token + 1
        if token > view.command_token(first_token):
            # a machine's own token, which it has from its transfer, is not the first of a block
            if first_token != ownership.token or token > ownership.last_token:
                self._membership.request_higher_token(machine.shard)
                return False
            view.raised_token = token
        view.must_refuse_starts = False
        return True

    @staticmethod
    def first_token(machine: Machine, ownership: ShardOwnership) -> int:
        """Return the first token under which the owner of a machine's shard commands it."""
        return max(ownership.token, machine.token)

    def command_token(self, machine: Machine, view: WorkerView, ownership: ShardOwnership) -> int:
        """Return the token under which the owner of a machine's shard commands the machine now."""
        return view.command_token(self.first_token(machine, ownership))

    def _respond_without_ownership(
        self, machine: Machine, heartbeat: WorkerHeartbeat
    ) -> HeartbeatResponse:
        """Keep a worker of a partitioned zone alive, or redirect it to its owner."""
        if not self._keepalive.keep_alive(machine, heartbeat):
            return _redirect(self._redirects.for_machine(machine))
        # This response renews the worker's lease. The view must record it, because an owner that
        # keeps a worker alive in a partitioned zone may regain its authority under the same lease.
        view = self._views.get(machine.id)
        if view is not None:
            view.last_response_at = self._clock.now()
        stops = stops_of_ended_jobs(heartbeat.tasks, self._keepalive.has_ended)
        return _accept(heartbeat.token, stops, self._keepalive.has_ended)

    def _respond_to_newer_token(
        self, machine: Machine, heartbeat: WorkerHeartbeat
    ) -> HeartbeatResponse:
        """Redirect a worker that has seen a higher token than this owner's.

        The worker would discard a response under the lower token, and its lease would expire.
        """
        self._membership.request_higher_token(machine.shard, heartbeat.token)
        alternative = self._redirects.for_unknown_owner()
        if alternative is None:
            return HeartbeatResponse(HttpStatus.SERVICE_UNAVAILABLE)
        return _redirect(alternative)

    def _has_job_ended(self, job_id: str) -> bool:
        job = self._cluster.jobs.get(job_id)
        return job is not None and job.has_ended

    # -- transfers of machines to other shards ---------------------------------------

    def is_transferring(self, machine_id: str) -> bool:
        """Return whether the machine's transfer to another shard is being written."""
        return machine_id in self._transferring

    def begin_transfers(self, machine_ids: Collection[str]) -> None:
        """Stop responding to these machines until the results of their transfers are known."""
        self._transferring.update(machine_ids)

    def end_transfers(self, machine_ids: Collection[str]) -> None:
        """Respond to these machines again, as the results of their transfers are known."""
        self._transferring.difference_update(machine_ids)

    # -- commands and leases ---------------------------------------------------------

    def request_stop(self, attempt: PlannedAttempt, reason: StopReason) -> None:
        """Request the stop of an attempt, which is sent with the next heartbeat response."""
        self.stop_requests.add(attempt, reason)

    def is_stopping(self, attempt: PlannedAttempt) -> bool:
        """Return whether the attempt is to be stopped, for any reason."""
        return self.stop_requests.has(attempt)

    def forget_stop(self, attempt: PlannedAttempt) -> None:
        """Drop the request to stop an attempt that has ended."""
        self.stop_requests.pop(attempt.id, None)

    def apply_command_response(self, heartbeat: WorkerHeartbeat) -> None:
        """Apply the status in a response to a direct command, which renews no lease."""
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            return
        ownership = self._membership.active_ownership(machine.shard)
        if ownership is None:
            return
        view = self.ensure_view(machine)
        if self.is_transferring(machine.id):
            return
        first_token = self.first_token(machine, ownership)
        if view.apply_status(heartbeat, first_token, self._clock.now()):
            self.reconciler.commands(machine, view, ownership, is_command_response=True)

    def expire_lease(self, machine: Machine, ownership: ShardOwnership) -> None:
        """End the machine's attempts if its worker's lease is proved to have expired."""
        self._lease_expiry.check(machine, self.ensure_view(machine), ownership)

"""Direct commands to workers, which avoid the delay until the next heartbeat.

A worker may execute such a command late and repeatedly, as long as the command's token and session
match, so the token of each start is recorded before it is sent (see `WorkerView`). The scheduling
loop calls the sender after its writes. The sender owns the connections to the workers.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import Machine, PlannedAttempt
from ..net import HttpStatus
from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..settings import Endpoint, Settings
from ..wire.checks import MalformedMessageError, load_object
from ..wire.workers import (
    COMMANDS_PATH,
    MAX_COMMANDS,
    WorkerHeartbeat,
    commands_body,
    parse_heartbeat,
)
from .heartbeat_handler import HeartbeatHandler
from .views import WorkerView

log = logging.getLogger(__name__)

# the responses that contain the worker's status: it has accepted or refused the commands
STATUSES_WITH_HEARTBEAT = (HttpStatus.OK, HttpStatus.CONFLICT)


class MachineCommands(NamedTuple):
    """The attempts to start and to stop on one machine."""

    starts: list[PlannedAttempt]
    stops: list[PlannedAttempt]


class _Call(NamedTuple):
    """A call to a worker's own address: its token, the worker's session, and the starts in it."""

    machine: str
    token: int
    session: int
    starts: list[PlannedAttempt]


def _log_call(call: _Call, stop_count: int) -> None:
    log.info(
        "direct commands sent machine=%s token=%d session=%d stops=%d starts=%s",
        call.machine,
        call.token,
        call.session,
        stop_count,
        ",".join(f"{start.job}/{start.index}@{start.number}" for start in call.starts),
    )


def _log_refusal(call: _Call, heartbeat: WorkerHeartbeat) -> None:
    log.info(
        "direct commands refused machine=%s reason=%s token=%d reported_token=%d session=%d "
        "reported_session=%d",
        call.machine,
        "token" if heartbeat.token > call.token else "session",
        call.token,
        heartbeat.token,
        call.session,
        heartbeat.session,
    )


class CommandSender:
    """Sends commands to workers' own addresses.

    Args:
        on_response: Called after a worker's response has been applied; optional.

    Attributes:
        connect: Creates the HTTP client for a worker's address.
    """

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        membership: Membership,
        heartbeats: HeartbeatHandler,
        on_response: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._membership = membership
        self._heartbeats = heartbeats
        self._reconciler = heartbeats.reconciler
        self._clients: dict[str, HttpClient] = {}
        self._in_flight = 0
        self.connect: Callable[[Endpoint], HttpClient] = lambda endpoint: Client(
            endpoint, max_sockets=1
        )
        self._on_response = on_response

    async def send(self, starts: list[PlannedAttempt], stops: list[PlannedAttempt]) -> None:
        """Send the starts of durable plans, and stops, without waiting for the responses.

        Above the limit of connections nothing is sent: the response to the worker's next heartbeat
        contains the same commands. Stops are not recorded, as a late stop can only end an
        attempt that is to be stopped in any case.
        """
        by_machine: dict[str, MachineCommands] = {}
        for attempt in starts:
            by_machine.setdefault(attempt.machine, MachineCommands([], [])).starts.append(attempt)
        for attempt in stops:
            by_machine.setdefault(attempt.machine, MachineCommands([], [])).stops.append(attempt)
        for machine_id, commands in by_machine.items():
            if self._in_flight < self._settings.command_sockets:
                await curio.spawn(self._send_to, machine_id, commands, daemon=True)

    async def _send_to(self, machine_id: str, attempts: MachineCommands) -> None:
        """Send one machine's commands, and again if its worker's token was raised meanwhile."""
        if await self._call(machine_id, attempts):
            await self._call(machine_id, attempts)

    async def _call(self, machine_id: str, attempts: MachineCommands) -> bool:
        """Send one machine's commands if this controller may still command the machine.

        Returns:
            Whether the worker refused the commands, and its token was raised meanwhile.
        """
        machine = self._cluster.machines.get(machine_id)
        view = self._heartbeats.find_view(machine_id)
        if machine is None or view is None:
            return False
        ownership = self._membership.command_ownership(machine.shard)
        client = self._client(view.address)
        # an attempt that ended while its plan was being written must not be started now
        starts = [start for start in attempts.starts if self._may_send_start(start, machine, view)]
        stops = attempts.stops[:MAX_COMMANDS]
        if ownership is None or client is None or not (starts or stops):
            return False
        if not view.has_confirmed_token:
            return False
        starts = starts[: MAX_COMMANDS - len(stops)]
        commands = [self._reconciler.stop_command(attempt) for attempt in stops]
        commands += [self._reconciler.start_command(attempt) for attempt in starts]
        if self._heartbeats.is_transferring(machine_id):
            return False
        token = self._heartbeats.command_token(machine, view, ownership)
        call = _Call(machine_id, token, view.session, starts)
        _log_call(call, len(stops))
        view.record_direct_starts(starts, token)
        is_refused = await self._request(client, call, commands_body(token, view.session, commands))
        return is_refused and view.raised_token > token

    def _may_send_start(self, attempt: PlannedAttempt, machine: Machine, view: WorkerView) -> bool:
        """Return whether the attempt is still planned in the worker's session and may start."""
        return (
            attempt.session == view.session
            and machine.attempts.get((attempt.job, attempt.index)) == attempt
            and self._reconciler.may_start(attempt, machine)
        )

    def _client(self, address: str) -> HttpClient | None:
        """Return the client for a worker's address, or None if the address is malformed."""
        client = self._clients.get(address)
        if client is not None:
            return client
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return None
        if len(self._clients) >= self._settings.command_sockets:
            # drop the oldest client: its worker still receives commands with heartbeat responses
            self._clients.pop(next(iter(self._clients)))
        client = self.connect(Endpoint(host, int(port)))
        self._clients[address] = client
        return client

    async def _request(self, client: HttpClient, call: _Call, body: bytes) -> bool:
        """Send commands to a worker, and return whether it refused them."""
        self._in_flight += 1
        try:
            status, data = await client.request(
                "POST", COMMANDS_PATH, body, self._settings.heartbeat_interval_s
            )
        except ConnectionFailedError as exc:
            log.debug("worker not reached machine=%s error=%s", call.machine, exc)
            return False
        except NoResponseError as exc:
            log.info(
                "start unconfirmed machine=%s tasks=%d error=%s",
                call.machine,
                len(call.starts),
                exc,
            )
            return False
        finally:
            self._in_flight -= 1
        heartbeat = self._apply_response(call.machine, status, data)
        if self._on_response is not None:
            await self._on_response()
        if heartbeat is None or status != HttpStatus.CONFLICT:
            return False
        _log_refusal(call, heartbeat)
        return True

    def _apply_response(self, machine_id: str, status: int, data: bytes) -> WorkerHeartbeat | None:
        """Apply the status that a worker's response to direct commands contains, and return it."""
        if status not in STATUSES_WITH_HEARTBEAT:
            return None
        try:
            heartbeat = parse_heartbeat(load_object(data), self._heartbeats.read_task_status)
        except MalformedMessageError as exc:
            log.info("malformed response machine=%s error=%s", machine_id, exc)
            return None
        self._heartbeats.apply_command_response(heartbeat)
        return heartbeat

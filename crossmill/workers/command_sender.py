"""Starts sent straight to workers, so that they need not wait for the next report.

Such a command may be executed late, as long as token and session match. While one is not
answered its attempt is in doubt: see `HeartbeatHandler.unacknowledged`.
"""

import logging
from collections.abc import Awaitable, Callable

import curio

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import PlannedAttempt
from ..net.client import Client, ConnectionFailedError, Http, NoResponseError
from ..settings import Endpoint, Settings
from ..wire.checks import MalformedMessageError, load_object
from ..wire.workers import COMMANDS_PATH, MAX_ORDERS, Command, commands_body, parse_heartbeat
from .heartbeat_handler import HeartbeatHandler

log = logging.getLogger(__name__)


class CommandSender:
    """Sends commands to workers' own addresses."""

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
        self._clients: dict[str, Http] = {}
        self._sending = 0
        self.connect: Callable[[Endpoint], Http] = lambda endpoint: Client(endpoint, max_sockets=1)
        self._on_response = on_response

    def _client(self, address: str) -> Http | None:
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit():
                return None
            if len(self._clients) >= self._settings.command_sockets:
                # the oldest goes; its worker is heard through its reports all the same
                self._clients.pop(next(iter(self._clients)))
            client = self._clients[address] = self.connect(Endpoint(host, int(port)))
        return client

    async def send(self, starts: list[PlannedAttempt], stops: list[PlannedAttempt]) -> None:
        """Starts of durable plans, and stops; a stop that comes late ends an attempt that is
        to end anyway, and is in no doubt.
        """
        by_machine: dict[str, tuple[list[PlannedAttempt], list[PlannedAttempt]]] = {}
        for attempt in starts:
            by_machine.setdefault(attempt.machine, ([], []))[0].append(attempt)
        for attempt in stops:
            by_machine.setdefault(attempt.machine, ([], []))[1].append(attempt)
        for machine_id, (some, others) in by_machine.items():
            if self._sending < self._settings.command_sockets:
                await curio.spawn(self._send, machine_id, some, others, daemon=True)

    async def _send(
        self, machine_id: str, attempts: list[PlannedAttempt], stops: list[PlannedAttempt]
    ) -> None:
        machine, view = (
            self._cluster.machines.get(machine_id),
            self._heartbeats.find_view(machine_id),
        )
        if machine is None or view is None:
            return
        ownership = self._membership.command_ownership(machine.shard)
        client = self._client(view.address)
        # what was found to be over while its plan's write was settled must not begin now
        attempts = [
            attempt
            for attempt in attempts
            if attempt.session == view.session
            and machine.attempts.get((attempt.job, attempt.index)) == attempt
            and self._heartbeats.may_start(attempt, machine)
        ]
        if ownership is None or client is None or not (attempts or stops) or not view.trusted:
            return
        commands = [self._heartbeats.stop_command(r) for r in stops[:MAX_ORDERS]]
        attempts = attempts[: MAX_ORDERS - len(commands)]
        commands += [Command("start", f"{r.job}/{r.index}", r.number) for r in attempts]
        if self._heartbeats.is_transferring(machine_id):
            return
        token = self._heartbeats.token(machine, ownership)
        body = commands_body(token, view.session, commands)
        unacknowledged = self._heartbeats.unacknowledged.setdefault(machine_id, {})
        for attempt in attempts:
            unacknowledged[attempt.id] = token
        self._sending += 1
        try:
            status, data = await client.request(
                "POST", COMMANDS_PATH, body, self._settings.heartbeat_interval_s
            )
        except ConnectionFailedError as exc:
            log.debug("worker not reached machine=%s error=%s", machine_id, exc)
        except NoResponseError as exc:
            log.info(
                "start unconfirmed machine=%s tasks=%d error=%s", machine_id, len(attempts), exc
            )
            return
        else:
            self._answered(machine_id, status, data)
            if self._on_response is not None:
                await self._on_response()
        finally:
            self._sending -= 1
        for attempt in attempts:
            unacknowledged.pop(attempt.id, None)

    def _answered(self, machine_id: str, status: int, data: bytes) -> None:
        if status not in (200, 409):
            return
        try:
            heartbeat = parse_heartbeat(load_object(data), self._heartbeats.read_task_status)
        except MalformedMessageError as exc:
            log.info("malformed response machine=%s error=%s", machine_id, exc)
            return
        self._heartbeats.apply_command_response(heartbeat)

"""The operators' API: declares replica sets, shows replicas, drains and releases machines.

The service calls `OperatorApi`, which is stateless. Any controller serves reads and accepts
declarations. To requests that only the pool's owner can serve, the other controllers respond with
421 and the owner's label.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import orjson

from ..net.server import Request, Response
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire import checks
from ..wire.multihost import (
    BASE_PATH,
    MACHINES_PATH,
    REPLICAS_PATH,
    SETS_PATH,
    error_body,
    redirect_body,
)
from ..wire.state import Put, Txn
from . import keys
from .context import ControllerContext, PoolContext
from .declaration import (
    InvalidDeclarationError,
    UnplaceableError,
    check_placeable,
    parse_declaration,
)
from .model import ReplicaId, ReplicaSet, ReplicaSetSpec
from .phases import ReplicaPhase
from .records import encode_machine, encode_set
from .representations import describe_machine, describe_replica, describe_set
from .writes import after_transition

# the paths that this API serves
OPERATOR_PATHS = (SETS_PATH, REPLICAS_PATH, MACHINES_PATH)

MAX_WRITE_ATTEMPTS = 3
RETRY_AFTER_S = 1
UNAVAILABLE = Response(503, error_body("the state service is not reached"), RETRY_AFTER_S)
NO_SUCH_SET = Response(404, error_body("no such replica set"))
NO_SUCH_REPLICA = Response(404, error_body("no such replica"))
NO_SUCH_MACHINE = Response(404, error_body("no such machine in the pool"))
NO_SUCH_PATH = Response(404, error_body("no such path"))
RESTART_REASON = "restarted by an operator"
RELEASE_REASON = "it leaves the pool"
DEFAULT_DRAIN_REASON = "by an operator"
NO_DRAIN_REASON = ""

# the fields of a declaration that may change while replicas run
MUTABLE_FIELDS = (
    "replicas",
    "priority",
    "min_ready",
    "restart_budget",
    "restart_window_s",
    "hold_s",
)
# the phase after an operator's restart, by the phase before; replicas in other phases can't be
# restarted
PHASE_AFTER_RESTART = {
    ReplicaPhase.FAILED: ReplicaPhase.PENDING,
    ReplicaPhase.READY: ReplicaPhase.REPAIRING,
    ReplicaPhase.STARTING: ReplicaPhase.REPAIRING,
}

_Handler = Callable[[], Awaitable[Response]]


class OperatorApi:
    """Routes and handles operators' requests."""

    def __init__(self, controller: ControllerContext, context: PoolContext) -> None:
        self._settings = controller.settings
        self._watcher = controller.watcher
        self._state_writer = controller.writer
        self._clock = context.clock
        self._ownership = context.ownership
        self._pool = context.pool
        self._pool_writer = context.writer

    async def handle(self, request: Request) -> Response:
        """Handle a request, with records that are up to date, and return the response."""
        handler = self._route(request)
        if handler is None:
            return NO_SUCH_PATH
        if not await self._watcher.sync(self._settings.submission_timeout_s):
            return UNAVAILABLE
        return await handler()

    # -- routes ----------------------------------------------------------------------

    def _route(self, request: Request) -> _Handler | None:
        """Return the handler of a request; None if there is no such path or method."""
        resource, *parts = request.path.removeprefix(BASE_PATH).strip("/").split("/")
        match resource:
            case "replica-sets":
                return self._route_sets(request, parts)
            case "replicas":
                return self._route_replicas(request, parts)
            case "machines":
                return self._route_machines(request, parts)
        return None

    def _route_sets(self, request: Request, parts: list[str]) -> _Handler | None:
        match request.method, parts:
            case "GET", []:
                return self._list_sets
            case "GET", [name]:
                return lambda: self._show_set(name)
            case "PUT", [name]:
                return lambda: self._declare(name, request.body)
            case "DELETE", [name]:
                return lambda: self._remove(name)
        return None

    def _route_replicas(self, request: Request, parts: list[str]) -> _Handler | None:
        match request.method, parts:
            case "GET", []:
                return self._list_replicas
            case "GET", [name, number] if number.isdecimal():
                return lambda: self._show_replica(ReplicaId(name, int(number)))
            case "POST", [name, number, "restart"] if number.isdecimal():
                return lambda: self._restart(ReplicaId(name, int(number)))
        return None

    def _route_machines(self, request: Request, parts: list[str]) -> _Handler | None:
        match request.method, parts:
            case "GET", []:
                return self._list_machines
            case "POST", [machine, "drain"]:
                return lambda: self._drain(machine, request.body)
            case "POST", [machine, "undrain"]:
                return lambda: self._set_drain_reason(machine, NO_DRAIN_REASON)
            case "POST", [machine, "release"]:
                return lambda: self._set_drain_reason(machine, RELEASE_REASON, is_released=True)
        return None

    # -- reads -----------------------------------------------------------------------

    async def _list_sets(self) -> Response:
        sets = [describe_set(self._pool, s) for _, s in sorted(self._pool.sets.items())]
        return Response(200, orjson.dumps({"replica_sets": sets}))

    async def _show_set(self, name: str) -> Response:
        replica_set = self._pool.sets.get(name)
        if replica_set is None:
            return NO_SUCH_SET
        return Response(200, orjson.dumps(describe_set(self._pool, replica_set)))

    async def _list_replicas(self) -> Response:
        wall_time = self._clock.wall_time()
        replicas = [describe_replica(r, wall_time) for _, r in sorted(self._pool.replicas.items())]
        return Response(200, orjson.dumps({"replicas": replicas}))

    async def _show_replica(self, replica_id: ReplicaId) -> Response:
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return NO_SUCH_REPLICA
        return Response(200, orjson.dumps(describe_replica(replica, self._clock.wall_time())))

    async def _list_machines(self) -> Response:
        machines = [describe_machine(self._pool, m) for _, m in sorted(self._pool.machines.items())]
        return Response(200, orjson.dumps({"machines": machines}))

    # -- declarations ----------------------------------------------------------------

    async def _declare(self, name: str, body: bytes) -> Response:
        try:
            data = checks.load_object(body)
            spec = parse_declaration(name, data, self._settings.zones)
            check_placeable(spec, self._pool.present_machines())
        except checks.MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        except InvalidDeclarationError as exc:
            return Response(400, error_body(str(exc), exc.field))
        except UnplaceableError as exc:
            return Response(422, error_body(str(exc), "members"))
        return await self._update_set(
            name, lambda replica_set: self._after_declaration(spec, replica_set)
        )

    @staticmethod
    def _after_declaration(
        spec: ReplicaSetSpec, replica_set: ReplicaSet | None
    ) -> ReplicaSet | Response:
        if replica_set is None:
            return ReplicaSet(spec)
        if replica_set.is_removed:
            return Response(409, error_body("a set of this name is being removed"), RETRY_AFTER_S)
        changes = {field: getattr(spec, field) for field in MUTABLE_FIELDS}
        if replica_set.spec._replace(**changes) != spec:
            allowed = ", ".join(MUTABLE_FIELDS)
            return Response(409, error_body(f"of a declared set only these change: {allowed}"))
        return ReplicaSet(spec, False, replica_set.next_number)

    async def _remove(self, name: str) -> Response:
        def removed(replica_set: ReplicaSet | None) -> ReplicaSet | Response:
            if replica_set is None:
                return NO_SUCH_SET
            return ReplicaSet(replica_set.spec, True, replica_set.next_number)

        return await self._update_set(name, removed)

    async def _update_set(
        self, name: str, change: Callable[[ReplicaSet | None], ReplicaSet | Response]
    ) -> Response:
        """Update a set's record; retry if another controller has written it concurrently.

        Args:
            name: The name of the set.
            change: Returns the set after the change, or an error response if it can't be changed.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            replica_set = self._pool.sets.get(name)
            after = change(replica_set)
            if isinstance(after, Response):
                return after
            key = keys.replica_set(name)
            version = replica_set.version if replica_set is not None else 0
            if await self._write(Txn({key: version}, [Put(key, encode_set(after))])):
                return Response(
                    201 if replica_set is None else 200, orjson.dumps(encode_set(after))
                )
            if not await self._watcher.sync(self._settings.submission_timeout_s):
                break
        return UNAVAILABLE

    async def _write(self, txn: Txn) -> bool:
        """Write a transaction within the submission timeout; return whether it was committed."""
        until = self._clock.now() + self._settings.submission_timeout_s
        intent = WriteIntent(txn, WriteRank.URGENT, send_deadline=until)
        return await self._state_writer.commit(intent) == WriteResult.OK

    # -- operations ------------------------------------------------------------------

    async def _restart(self, replica_id: ReplicaId) -> Response:
        ownership = self._ownership.command_ownership()
        if ownership is None:
            return Response(421, redirect_body(self._ownership.owner()))
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return NO_SUCH_REPLICA
        phase = PHASE_AFTER_RESTART.get(replica.phase)
        if phase is None:
            return Response(409, error_body(f"a replica that is {replica.phase} is not restarted"))
        wall_time = self._clock.wall_time()
        after = after_transition(replica, phase, wall_time, RESTART_REASON)
        if phase is ReplicaPhase.PENDING:
            # an operator's restart of a failed replica resets its restart budget
            after.restarts = ()
        intent = self._pool_writer.transition(ownership, replica, after)
        if not all(await self._pool_writer.submit([intent])):
            return UNAVAILABLE
        return Response(
            200, orjson.dumps(describe_replica(self._pool.replicas[replica_id], wall_time))
        )

    async def _drain(self, machine_id: str, body: bytes) -> Response:
        try:
            data = checks.load_object(body) if body else {}
            reason = checks.optional_text(data, "reason") or DEFAULT_DRAIN_REASON
        except checks.MalformedMessageError as exc:
            return Response(400, error_body(str(exc), "reason"))
        return await self._set_drain_reason(machine_id, reason)

    async def _set_drain_reason(
        self, machine_id: str, reason: str, is_released: bool = False
    ) -> Response:
        machine = self._pool.machines.get(machine_id)
        if machine is None:
            return NO_SUCH_MACHINE
        if machine.has_left:
            return Response(409, error_body("the machine has left the pool"))
        key = keys.machine(machine_id)
        after = replace(machine, drain_reason=reason, is_released=is_released)
        if not await self._write(Txn({key: machine.version}, [Put(key, encode_machine(after))])):
            return UNAVAILABLE
        updated = self._pool.machines[machine_id]
        return Response(200, orjson.dumps(describe_machine(self._pool, updated)))

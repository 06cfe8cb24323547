"""The operators' interface: declaring replica sets, watching replicas, emptying machines.

Any controller answers reads and takes declarations; what only the pool's owner can do is answered
by the others with 421 and the owner's name.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import orjson

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
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
from .declaration import (
    InvalidDeclarationError,
    UnplaceableError,
    check_placeable,
    parse_declaration,
)
from .model import PoolMachine, Replica, ReplicaId, ReplicaSet, ReplicaSetSpec
from .phases import ReplicaPhase
from .pool import PoolState
from .records import encode_machine, encode_set
from .settings import MultihostSettings
from .writes import PoolWriter, after_transition

MAX_WRITE_ATTEMPTS = 3
RETRY_AFTER_S = 1
UNAVAILABLE = Response(503, error_body("the state service is not reached"), RETRY_AFTER_S)
NO_SUCH_SET = Response(404, error_body("no such replica set"))
NO_SUCH_REPLICA = Response(404, error_body("no such replica"))
NO_SUCH_MACHINE = Response(404, error_body("no such machine in the pool"))
NO_SUCH_PATH = Response(404, error_body("no such path"))
RESTARTED = "restarted by an operator"
RELEASED = "it leaves the pool"

# what a declaration may change while replicas run
CHANGEABLE = ("replicas", "priority", "min_ready", "restart_budget", "restart_window_s", "hold_s")


class OperatorApi:
    """Routes and answers operators' requests."""

    def __init__(
        self,
        settings: Settings,
        multihost: MultihostSettings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        watcher: StateWatcher,
        writer: Writer,
        pool: PoolState,
        writes: PoolWriter,
    ) -> None:
        self._settings = settings
        self._multihost = multihost
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._watcher = watcher
        self._writer = writer
        self._pool = pool
        self._writes = writes

    async def handle(self, request: Request) -> Response:
        """The answer to a request."""
        handler = self._route(request)
        if handler is None:
            return NO_SUCH_PATH
        if not await self._watcher.sync(self._settings.submission_timeout_s):
            return UNAVAILABLE
        return await handler()

    def _route(self, request: Request) -> Callable[[], Awaitable[Response]] | None:
        parts = request.path.removeprefix(BASE_PATH).strip("/").split("/")
        match request.method, parts:
            case "GET", ["replica-sets"]:
                return self._list_sets
            case "GET", ["replica-sets", name]:
                return lambda: self._show_set(name)
            case "PUT", ["replica-sets", name]:
                return lambda: self._declare(name, request.body)
            case "DELETE", ["replica-sets", name]:
                return lambda: self._remove(name)
            case "GET", ["replicas"]:
                return self._list_replicas
            case "GET", ["replicas", name, number] if number.isdecimal():
                return lambda: self._show_replica(ReplicaId(name, int(number)))
            case "POST", ["replicas", name, number, "restart"] if number.isdecimal():
                return lambda: self._restart(ReplicaId(name, int(number)))
            case "GET", ["machines"]:
                return self._list_machines
            case "POST", ["machines", machine, "drain"]:
                return lambda: self._drain(machine, request.body)
            case "POST", ["machines", machine, "undrain"]:
                return lambda: self._set_draining(machine, "")
            case "POST", ["machines", machine, "release"]:
                return lambda: self._set_draining(machine, RELEASED, leaving=True)
        return None

    # -- reads -----------------------------------------------------------------------

    async def _list_sets(self) -> Response:
        sets = [self._describe_set(s) for _, s in sorted(self._pool.sets.items())]
        return Response(200, orjson.dumps({"replica_sets": sets}))

    async def _show_set(self, name: str) -> Response:
        stored = self._pool.sets.get(name)
        if stored is None:
            return NO_SUCH_SET
        return Response(200, orjson.dumps(self._describe_set(stored)))

    def _describe_set(self, stored: ReplicaSet) -> dict[str, Any]:
        replicas = self._pool.replicas_of.get(stored.spec.name, {})
        data = encode_set(stored)
        data["resources"] = stored.spec.resources._asdict()
        data["ready"] = sum(r.phase is ReplicaPhase.READY for r in replicas.values())
        data["known"] = len(replicas)
        return data

    async def _list_replicas(self) -> Response:
        replicas = [self._describe(r) for _, r in sorted(self._pool.replicas.items())]
        return Response(200, orjson.dumps({"replicas": replicas}))

    async def _show_replica(self, replica_id: ReplicaId) -> Response:
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return NO_SUCH_REPLICA
        return Response(200, orjson.dumps(self._describe(replica)))

    def _describe(self, replica: Replica) -> dict[str, Any]:
        return {
            "replica": str(replica.id),
            "phase": replica.phase.value,
            "generation": replica.generation,
            "reason": replica.reason,
            "leaving": replica.leaving,
            "in_phase_s": round(self._clock.wall() - replica.since, 3),
            "restarts": len(replica.restarts),
            "members": [m._asdict() for m in replica.members()],
            "history": self._history(replica),
        }

    def _history(self, replica: Replica) -> list[dict[str, Any]]:
        """The last phases, with the time spent in each."""
        ends = [c.at for c in replica.history[1:]] + [self._clock.wall()]
        return [
            {"phase": c.phase.value, "at": c.at, "for_s": round(end - c.at, 3), "reason": c.reason}
            for c, end in zip(replica.history, ends, strict=True)
        ]

    async def _list_machines(self) -> Response:
        machines = [self._describe_machine(m) for _, m in sorted(self._pool.machines.items())]
        return Response(200, orjson.dumps({"machines": machines}))

    def _describe_machine(self, machine: PoolMachine) -> dict[str, Any]:
        return {
            "machine": machine.id,
            "zone": machine.zone,
            "draining": machine.draining,
            "has_left": machine.has_left,
            "capacity": machine.capacity._asdict(),
            "free": self._pool.free(machine)._asdict(),
            "replicas": sorted(str(r) for r in machine.planned),
        }

    # -- declarations ----------------------------------------------------------------

    async def _declare(self, name: str, body: bytes) -> Response:
        try:
            data = checks.load_object(body)
            spec = parse_declaration(name, data, self._settings.zones)
            check_placeable(spec, self._pool.placeable())
        except checks.MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        except InvalidDeclarationError as exc:
            return Response(400, error_body(str(exc), exc.field))
        except UnplaceableError as exc:
            return Response(422, error_body(str(exc), "members"))
        return await self._store(name, lambda stored: self._declared(spec, stored))

    @staticmethod
    def _declared(spec: ReplicaSetSpec, stored: ReplicaSet | None) -> ReplicaSet | Response:
        if stored is None:
            return ReplicaSet(spec)
        if stored.removed:
            return Response(409, error_body("a set of this name is being removed"), RETRY_AFTER_S)
        changes = {field: getattr(spec, field) for field in CHANGEABLE}
        if stored.spec._replace(**changes) != spec:
            allowed = ", ".join(CHANGEABLE)
            return Response(409, error_body(f"of a declared set only these change: {allowed}"))
        return ReplicaSet(spec, False, stored.next_index)

    async def _remove(self, name: str) -> Response:
        def removed(stored: ReplicaSet | None) -> ReplicaSet | Response:
            if stored is None:
                return NO_SUCH_SET
            return ReplicaSet(stored.spec, True, stored.next_index)

        return await self._store(name, removed)

    async def _store(
        self, name: str, change: Callable[[ReplicaSet | None], ReplicaSet | Response]
    ) -> Response:
        """Changes a set's record; the pool's owner may be writing it too."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = self._pool.sets.get(name)
            after = change(stored)
            if isinstance(after, Response):
                return after
            key = keys.replica_set(name)
            version = stored.version if stored is not None else 0
            if await self._write(Txn({key: version}, [Put(key, encode_set(after))])):
                return Response(201 if stored is None else 200, orjson.dumps(encode_set(after)))
            if not await self._watcher.sync(self._settings.submission_timeout_s):
                break
        return UNAVAILABLE

    async def _write(self, txn: Txn) -> bool:
        until = self._clock.now() + self._settings.submission_timeout_s
        return (
            await self._writer.commit(WriteIntent(txn, WriteRank.URGENT, until=until))
            == WriteResult.OK
        )

    # -- by hand ---------------------------------------------------------------------

    async def _restart(self, replica_id: ReplicaId) -> Response:
        shard = self._multihost.pool_shard
        ownership = self._membership.command_ownership(shard)
        if ownership is None:
            known = self._cluster.shard_owners.get(shard)
            return Response(421, redirect_body(known.owner if known is not None else None))
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return NO_SUCH_REPLICA
        after_phase = (
            ReplicaPhase.PENDING if replica.phase is ReplicaPhase.FAILED else ReplicaPhase.REPAIRING
        )
        if replica.phase not in (ReplicaPhase.FAILED, ReplicaPhase.READY, ReplicaPhase.STARTING):
            return Response(409, error_body(f"a replica that is {replica.phase} is not restarted"))
        after = after_transition(replica, after_phase, self._clock.wall(), RESTARTED)
        if after_phase is ReplicaPhase.PENDING:
            after.restarts = ()
        if not all(await self._writes.submit([self._writes.transition(ownership, replica, after)])):
            return UNAVAILABLE
        return Response(200, orjson.dumps(self._describe(self._pool.replicas[replica_id])))

    async def _drain(self, machine_id: str, body: bytes) -> Response:
        try:
            data = checks.load_object(body) if body else {}
            reason = checks.optional_text(data, "reason") or "by an operator"
        except checks.MalformedMessageError as exc:
            return Response(400, error_body(str(exc), "reason"))
        return await self._set_draining(machine_id, reason)

    async def _set_draining(self, machine_id: str, reason: str, leaving: bool = False) -> Response:
        machine = self._pool.machines.get(machine_id)
        if machine is None:
            return NO_SUCH_MACHINE
        if machine.has_left:
            return Response(409, error_body("the machine has left the pool"))
        key = keys.machine(machine_id)
        value = encode_machine(replace(machine, draining=reason, leaving=leaving))
        if not await self._write(Txn({key: machine.version}, [Put(key, value)])):
            return UNAVAILABLE
        return Response(200, orjson.dumps(self._describe_machine(self._pool.machines[machine_id])))


# the paths that this interface answers
OPERATOR_PATHS = (SETS_PATH, REPLICAS_PATH, MACHINES_PATH)

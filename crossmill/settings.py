"""The settings file: TOML into checked, frozen types, and the ratios derived from it."""

import math
import tomllib
from dataclasses import dataclass
from typing import Any


class BadSettings(ValueError):
    """The settings can't be used; the text names the field."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Peer:
    label: str
    zone: str
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Team:
    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True, slots=True)
class Objective:
    kind: str
    job_class: str
    within_s: float
    share: float
    times: float


@dataclass(frozen=True, slots=True)
class Settings:
    label: str
    zone: str
    bind: Endpoint
    peer_listen: Endpoint
    peers: tuple[Peer, ...]
    cloud: Endpoint
    state: Endpoint
    zones: tuple[str, ...]
    teams: tuple[Team, ...]
    objectives: tuple[Objective, ...]
    report_s: float
    lease_s: float
    cancel_s: float
    state_rps: float
    state_write_rps: float
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    fd_limit: int
    ram_mb: float

    @property
    def nodes(self) -> int:
        return 1 + len(self.peers)

    @property
    def labels(self) -> tuple[str, ...]:
        return tuple(sorted([self.label, *(p.label for p in self.peers)]))

    # -- figures derived from the settings; ratios live here only --------------------

    @property
    def hold_ttl_s(self) -> float:
        """A controller's lease: crash, takeover and the workers' move fit into lease_s."""
        return self.lease_s * 0.32

    @property
    def renew_s(self) -> float:
        return self.hold_ttl_s / 4

    @property
    def promise_s(self) -> float:
        """How long a peer's promise not to take a shard holds."""
        return self.hold_ttl_s

    @property
    def extension_s(self) -> float:
        """How long workers are answered on promises alone: a withdrawal that is not heard of
        must still end its tasks in time, by the end of the workers' lease if need be."""
        return max(0.0, 0.9 * self.cancel_s - self.worker_end_s - self.report_s)

    @property
    def deputy_s(self) -> float:
        """How long after it last knew all that was durable a controller in a zone that is cut
        off keeps the zone's workers alive."""
        return 3 * self.lease_s

    @property
    def note_s(self) -> float:
        """How long a job's note that it is to be withdrawn stands without being repeated."""
        return 4 * self.lease_s

    @property
    def quiet_s(self) -> float:
        """How long a controller that was asked about a silent machine leaves it unanswered:
        until its lease must have ended, and a while for whoever asked to conclude it."""
        return 1.5 * self.worker_end_s

    @property
    def drift(self) -> float:
        """Two steady clocks, each up to 0.05% off, doubled for safety."""
        return 0.002

    @property
    def worker_end_s(self) -> float:
        """A worker unanswered for this long has ended its session."""
        return self.lease_s * (1 + self.drift) + 0.02 * self.lease_s

    @property
    def suspect_s(self) -> float:
        """A machine that has not reported for this long gets no new task."""
        return 2.5 * self.report_s

    @property
    def unheard_s(self) -> float:
        """Each worker's next report has come by then: report_s and a quarter, and some more."""
        return 1.5 * self.report_s

    @property
    def deaf_s(self) -> float:
        """How long a controller that hears no worker leaves the shards to others."""
        return 2 * self.lease_s

    @property
    def requests_share(self) -> float:
        return 0.9 * self.state_rps / self.nodes

    def writes_of(self, weight: float, total: float) -> float:
        """A controller's part of the changes a second that all of them together may make."""
        return 0.92 * self.state_write_rps * weight / total

    @property
    def writes_share(self) -> float:
        """The part of each while nobody is known to have more to do."""
        return self.writes_of(1, self.nodes)

    @property
    def busy_shards(self) -> frozenset[int]:
        """Shards that have a team; with fewer teams than controllers some have none."""
        return frozenset(self.shard_of_team(t.name) for t in self.teams)

    @property
    def cloud_pace(self) -> float:
        return 0.8 * self.cloud_rps

    @property
    def list_every_s(self) -> float:
        return max(self.list_lag_s / 2, 4 / self.cloud_rps)

    @property
    def tasks_per_chunk(self) -> int:
        """A plan row takes at most 48 bytes; three quarters of a value leave room to spare."""
        return max(16, int(self.value_bytes * 0.75 / 48))

    @property
    def ended_kept(self) -> int:
        """Ended jobs of a shard kept at hand; older ones are archived and read when asked for.
        With all controllers' shares, some 4 KB each, that is a tenth of the memory."""
        return max(100, int(self.ram_mb * 0.1 * 1e6 / 4096 / self.nodes))

    @property
    def fixed_wait_s(self) -> float:
        """Where a job without a deadline stands in the queue: arrival plus this."""
        return 3 * self.lease_s

    @property
    def round_s(self) -> float:
        """Rounds of decisions start at least this far apart."""
        return self.report_s / 12

    @property
    def round_budget_s(self) -> float:
        """A round's time for decisions; the next goes on where it stopped."""
        return self.report_s / 15

    @property
    def accept_s(self) -> float:
        """A submission not durable by then is answered with 503."""
        return self.hold_ttl_s / 3

    @property
    def backoff_most_s(self) -> float:
        """The longest wait before a job that fails everywhere is tried again."""
        return 3 * self.lease_s

    @property
    def machines_per_txn(self) -> int:
        """A transaction takes four conditions for each change; some are spoken for."""
        return max(1, 4 * self.txn_ops - 8)

    @property
    def together(self) -> float:
        """The largest part of a service's replicas put on one machine while others have room."""
        return 0.5

    @property
    def boot_patience(self) -> float:
        """A machine not up after this many boot times is counted as never coming up."""
        return 3.5

    @property
    def late_boot(self) -> float:
        """After this many boot times a machine is no longer counted on."""
        return 1.8

    @property
    def idle_s(self) -> float:
        """An empty machine that nothing is expected for is returned after this long."""
        return 2 * self.lease_s

    @property
    def forecast_s(self) -> float:
        """How far back arrivals are counted to expect the next ones."""
        return 10 * self.lease_s

    @property
    def headroom(self) -> float:
        """Room kept for expected tasks, in parts of those expected while a machine boots."""
        return 1.0

    @property
    def array_base(self) -> float:
        """Spot room kept for arrays, in parts of what runs of them at a time on average."""
        return 1.25

    @property
    def blocked_s(self) -> float:
        """A type and zone that was refused is left alone for this long."""
        return self.lease_s

    @property
    def peer_sockets(self) -> int:
        return max(8, int(self.fd_limit * 0.04))

    @property
    def drain_every_s(self) -> float:
        """A shard empties at most one machine in this time."""
        return self.lease_s / 2

    @property
    def give_every_s(self) -> float:
        """How often a shard looks whether others lack what it could give."""
        return self.lease_s / 4

    @property
    def give_most(self) -> int:
        """Machines given for one job at a time."""
        return 3

    @property
    def drain_most(self) -> int:
        """A machine with more tasks than this is not emptied: each move is a short outage."""
        return 16

    @property
    def in_vain_s(self) -> float:
        """A task stopped sooner after its start has not been of use."""
        return 3 * self.lease_s

    def prompt_s(self, job_class: str) -> float | None:
        """What the objectives say of how soon the class's tasks must start."""
        waits = [
            o.within_s for o in self.objectives if (o.kind, o.job_class) == ("wait", job_class)
        ]
        return min(waits, default=None)

    @property
    def settled_s(self) -> float:
        """A replica is not moved sooner after its start."""
        return 4 * self.lease_s

    @property
    def direct_sockets(self) -> int:
        """Connections kept to workers for starts."""
        return int(self.fd_limit * 0.12)

    @property
    def server_sockets(self) -> int:
        return int(self.fd_limit * 0.8)

    def team(self, name: str) -> Team | None:
        return next((t for t in self.teams if t.name == name), None)

    def shard_of_team(self, name: str) -> int:
        """Teams parted among controllers: a team's jobs are placed by one of them. Large
        guarantees are dealt out first, each to the shard that has least so far."""
        order = sorted(self.teams, key=lambda t: (-t.gpus, -t.cpus, self.teams.index(t)))
        loads = [(0.0, 0.0, 0, shard) for shard in range(self.nodes)]
        for team in order:
            gpus, cpus, number, shard = min(loads)
            if team.name == name:
                return shard
            loads[shard] = (gpus + team.gpus, cpus + team.cpus, number + 1, shard)
        return 0


class _Table:
    """A TOML table whose fields are read with checks that name them."""

    def __init__(self, data: Any, where: str) -> None:
        if not isinstance(data, dict):
            raise BadSettings(f"{where or 'file'}: a table is needed")
        self.data = data
        self.where = where

    def _name(self, field: str) -> str:
        return f"{self.where}.{field}" if self.where else field

    def table(self, field: str) -> "_Table":
        return _Table(self.data.get(field), self._name(field))

    def tables(self, field: str) -> list["_Table"]:
        rows = self.data.get(field, [])
        if not isinstance(rows, list):
            raise BadSettings(f"{self._name(field)}: a list of tables is needed")
        return [_Table(r, f"{self._name(field)}[{i}]") for i, r in enumerate(rows)]

    def text(self, field: str) -> str:
        value = self.data.get(field)
        if not isinstance(value, str) or not value:
            raise BadSettings(f"{self._name(field)}: a non-empty string is needed")
        return value

    def number(self, field: str, low: float, default: float | None = None) -> float:
        value = self.data.get(field, default)
        ok = isinstance(value, int | float) and not isinstance(value, bool)
        if not ok or not math.isfinite(value) or value < low:
            raise BadSettings(f"{self._name(field)}: a number of at least {low:g} is needed")
        return float(value)

    def endpoint(self, field: str) -> Endpoint:
        host, _, port = self.text(field).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise BadSettings(f"{self._name(field)}: HOST:PORT is needed")
        return Endpoint(host, int(port))

    def texts(self, field: str) -> tuple[str, ...]:
        value = self.data.get(field)
        if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
            raise BadSettings(f"{self._name(field)}: a list of strings is needed")
        return tuple(value)


def parse(data: dict[str, Any]) -> Settings:
    top = _Table(data, "")
    params = top.table("settings")
    external = top.table("external")
    workers, state = params.table("workers"), params.table("state")
    cloud, limits = params.table("cloud"), params.table("resources")
    settings = Settings(
        label=top.text("label"),
        zone=top.text("site"),
        bind=top.endpoint("bind"),
        peer_listen=top.endpoint("peer_listen"),
        peers=tuple(
            Peer(p.text("label"), p.text("site"), p.endpoint("endpoint"))
            for p in top.tables("members")
        ),
        cloud=external.endpoint("cloud"),
        state=external.endpoint("state"),
        zones=params.texts("zones"),
        teams=tuple(_team(t) for t in params.tables("teams")),
        objectives=tuple(_objective(o) for o in params.tables("objectives")),
        report_s=workers.number("report_s", 0.01),
        lease_s=workers.number("lease_s", 0.1),
        cancel_s=workers.number("cancel_s", 0.1),
        state_rps=state.number("rps", 1),
        state_write_rps=state.number("write_rps", 1),
        value_bytes=int(state.number("value_kb", 1) * 1024),
        txn_ops=int(state.number("txn_ops", 4)),
        cloud_rps=cloud.number("rps", 0.01),
        list_lag_s=cloud.number("list_lag_s", 0),
        fd_limit=int(limits.number("fd_limit", 32)),
        ram_mb=limits.number("ram_mb", 1),
    )
    if len(set(settings.labels)) != settings.nodes:
        raise BadSettings("members: labels must differ from one another and from label")
    return settings


def _team(t: _Table) -> Team:
    return Team(
        t.text("name"),
        *(t.number(f, 0, 0.0) for f in ("cpus", "cpus_max", "gpus", "gpus_max")),
    )


def _objective(o: _Table) -> Objective:
    return Objective(
        kind=o.text("kind"),
        job_class=str(o.data.get("class", "")),
        within_s=o.number("within_s", 0, 0.0),
        share=o.number("share", 0, 0.0),
        times=o.number("times", 0, 1.0),
    )


def load(path: str) -> Settings:
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as exc:
        raise BadSettings(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise BadSettings(f"{path}: not TOML: {exc}") from exc
    return parse(data)

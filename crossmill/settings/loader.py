"""Reads the settings file: TOML into checked settings."""

import tomllib
from typing import Any

from .limits import StateLimits
from .model import Objective, Peer, Settings, Team
from .table import SettingsError, Table

KIB = 1024


def parse(data: dict[str, Any]) -> Settings:
    """The settings from the file's table; raises SettingsError with the field's name."""
    top = Table(data, "")
    params = top.table("settings")
    external = top.table("external")
    workers, state = params.table("workers"), params.table("state")
    cloud, limits = params.table("cloud"), params.table("resources")
    now = _limits(state)
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
        heartbeat_interval_s=workers.number("report_s", 0.01),
        worker_lease_s=workers.number("lease_s", 0.1),
        cancellation_deadline_s=workers.number("cancel_s", 0.1),
        state_limits=now,
        next_state_limits=_limits(state.table("next"), now) if "next" in state.data else None,
        cloud_rps=cloud.number("rps", 0.01),
        list_lag_s=cloud.number("list_lag_s", 0),
        fd_limit=int(limits.number("fd_limit", 32)),
        ram_mb=limits.number("ram_mb", 1),
    )
    if len(set(settings.labels)) != settings.controller_count:
        raise SettingsError("members: labels must differ from one another and from label")
    return settings


def _limits(t: Table, default: StateLimits | None = None) -> StateLimits:
    """Limits of the state service; what `default` has and the table lacks does not change."""
    rps = write_rps = value_kb = txn_ops = None
    if default is not None:
        rps, write_rps, txn_ops = default.rps, default.write_rps, default.txn_ops
        value_kb = default.value_bytes / KIB
    return StateLimits(
        rps=t.number("rps", 1, rps),
        write_rps=t.number("write_rps", 1, write_rps),
        value_bytes=int(t.number("value_kb", 1, value_kb) * KIB),
        txn_ops=int(t.number("txn_ops", 4, txn_ops)),
    )


def _team(t: Table) -> Team:
    return Team(
        t.text("name"),
        *(t.number(f, 0, 0.0) for f in ("cpus", "cpus_max", "gpus", "gpus_max")),
    )


def _objective(o: Table) -> Objective:
    return Objective(
        kind=o.text("kind"),
        job_class=str(o.data.get("class", "")),
        within_s=o.number("within_s", 0, 0.0),
        share=o.number("share", 0, 0.0),
        times=o.number("times", 0, 1.0),
    )


def load(path: str) -> Settings:
    """Reads and checks the settings file; raises SettingsError."""
    return parse(read_toml(path))


def read_toml(path: str) -> dict[str, Any]:
    """The file's table; raises SettingsError with the reason if it can't be read."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: not TOML: {exc}") from exc

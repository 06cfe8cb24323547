"""Reads the TOML settings file and validates it.

The file uses the field names of the operators' documentation; this module maps them to the names
used in the code.
"""

import tomllib
from typing import Any

from .deployment import Objective, Peer, StateLimits, Team
from .model import Settings
from .table import SettingsError, Table

KIB = 1024


def parse(data: dict[str, Any]) -> Settings:
    """Return the settings in the top-level table of the file.

    Raises:
        SettingsError: A field is missing or invalid; the message names the field.
    """
    top = Table(data, "")
    general = top.table("settings")
    external = top.table("external")
    workers, state = general.table("workers"), general.table("state")
    cloud, limits = general.table("cloud"), general.table("resources")
    state_limits = _limits(state)
    settings = Settings(
        label=top.text("label"),
        zone=top.text("site"),
        bind=top.endpoint("bind"),
        peer_listen=top.endpoint("peer_listen"),
        peers=tuple(
            Peer(peer.text("label"), peer.text("site"), peer.endpoint("endpoint"))
            for peer in top.tables("members")
        ),
        cloud=external.endpoint("cloud"),
        state=external.endpoint("state"),
        zones=general.texts("zones"),
        teams=tuple(_team(table) for table in general.tables("teams")),
        objectives=tuple(_objective(table) for table in general.tables("objectives")),
        heartbeat_interval_s=workers.number("report_s", 0.01),
        worker_lease_s=workers.number("lease_s", 0.1),
        cancellation_deadline_s=workers.number("cancel_s", 0.1),
        state_limits=state_limits,
        next_state_limits=(
            _limits(state.table("next"), state_limits) if state.has("next") else None
        ),
        cloud_rps=cloud.number("rps", 0.01),
        list_lag_s=cloud.number("list_lag_s", 0),
        fd_limit=int(limits.number("fd_limit", 32)),
        ram_mb=limits.number("ram_mb", 1),
    )
    if len(set(settings.labels)) != settings.controller_count:
        raise SettingsError(
            f"members: labels must be unique and differ from label, got {settings.labels}"
        )
    return settings


def _limits(table: Table, default: StateLimits | None = None) -> StateLimits:
    """Return the limits of the state service; a missing field takes its value from `default`."""
    rps = write_rps = value_kb = txn_ops = None
    if default is not None:
        rps, write_rps, txn_ops = default.rps, default.write_rps, default.txn_ops
        value_kb = default.value_bytes / KIB
    return StateLimits(
        rps=table.number("rps", 1, rps),
        write_rps=table.number("write_rps", 1, write_rps),
        value_bytes=int(table.number("value_kb", 1, value_kb) * KIB),
        txn_ops=int(table.number("txn_ops", 4, txn_ops)),
    )


def _team(table: Table) -> Team:
    return Team(
        name=table.text("name"),
        cpus=table.number("cpus", 0, 0.0),
        cpus_max=table.number("cpus_max", 0, 0.0),
        gpus=table.number("gpus", 0, 0.0),
        gpus_max=table.number("gpus_max", 0, 0.0),
    )


def _objective(table: Table) -> Objective:
    return Objective(
        kind=table.text("kind"),
        job_class=table.optional_text("class"),
        within_s=table.number("within_s", 0, 0.0),
        share=table.number("share", 0, 0.0),
        times=table.number("times", 0, 1.0),
    )


def load(path: str) -> Settings:
    """Read and validate the settings file.

    Raises:
        SettingsError: The file can't be read, or a field is missing or invalid.
    """
    return parse(read_toml(path))


def read_toml(path: str) -> dict[str, Any]:
    """Return the top-level table of a TOML file.

    Raises:
        SettingsError: The file can't be read or is not valid TOML; the message gives the reason.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as exc:
        raise SettingsError(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: invalid TOML: {exc}") from exc

"""Settings, jobs and heartbeat bodies for tests, with defaults that a test can override."""

from typing import Any

import orjson

from crossmill.settings import Settings, parse
from crossmill.wire.users import JobSpec, parse_spec

# zones by controller label; in most scenarios all machines are in the zone of node-0, which has no
# other controller
ZONES = {"node-0": "north", "node-1": "south", "node-2": "south"}


def settings_table(label: str = "node-0", **changes: Any) -> dict[str, Any]:
    """Return the content of the settings file for one of three controllers."""
    labels = [f"node-{i}" for i in range(3)]
    table: dict[str, Any] = {
        "label": label,
        "site": ZONES.get(label, "north"),
        "bind": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "members": [
            {"label": x, "site": ZONES[x], "endpoint": f"127.0.0.1:{9000 + i}"}
            for i, x in enumerate(labels)
            if x != label
        ],
        "external": {"cloud": "127.0.0.1:8443", "state": "127.0.0.1:2379"},
        "settings": {
            "zones": ["north", "south"],
            "teams": [
                {"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 4, "gpus_max": 16},
                {"name": "blue", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
                {"name": "green", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
            ],
            "objectives": [
                {"kind": "wait", "class": "chat", "within_s": 20.0, "share": 0.9},
                {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
            ],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 30.0},
            "state": {
                "rps": 100.0,
                "write_rps": 60.0,
                "value_kb": 32.0,
                "txn_ops": 20,
                "next": {"write_rps": 40.0, "value_kb": 2.0, "txn_ops": 6},
            },
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
            "resources": {"cores": 0.3, "ram_mb": 100.0, "fd_limit": 500},
        },
    }
    table.update(changes)
    return table


def make_settings(label: str = "node-0") -> Settings:
    """Return the parsed settings of a controller."""
    return parse(settings_table(label))


def submission(**changes: Any) -> dict[str, Any]:
    """Return a submission as a user sends it; the changes have wire names."""
    data: dict[str, Any] = {
        "nameId": "wk-000001",
        "grist": "chat",
        "crew": "red",
        "cut": "array",
        "precedence": "standard",
        "sacks": 2,
        "cpus": 4.0,
        "cards": 1.0,
        "ramGb": 16.0,
        "recipe": "img-1",
        "pullGb": 10.0,
        "frames": None,
        "yard": None,
        "oneZone": False,
        "spread": False,
        "loaners": False,
        "grindS": 40.0,
        "baggingS": 0.0,
        "sealS": 0.0,
        "dueS": 100.0,
    }
    data.update(changes)
    return data


def make_spec(**changes: Any) -> JobSpec:
    """Return a parsed submission; the changes have wire names."""
    return parse_spec(submission(**changes))


def heartbeat_body(
    machine: str, session: int, seq: int, token: int, *tasks: dict[str, Any]
) -> bytes:
    """Return the body of a worker's heartbeat."""
    return orjson.dumps(
        {
            "stone": machine,
            "address": "127.0.0.1:9000",
            "frame": "g4",
            "yard": "north",
            "loaners": False,
            "shift": session,
            "tally": seq,
            "warrant": token,
            "recallS": None,
            "sacks": list(tasks),
        }
    )


def reported_task(
    job: str, index: int, attempt: int, state: str, cause: str = ""
) -> dict[str, Any]:
    """Return the entry of a task in a heartbeat."""
    task: dict[str, Any] = {"sack": f"{job}/{index}", "turn": attempt, "stage": state}
    if cause:
        task["cause"] = cause
    return task

"""Messages to and from the cloud."""

from typing import Any, NamedTuple

import orjson

from . import checks

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/hosts"
RELEASE_PATH = "/hosts/release"
MAX_RENT = 50
MAX_RELEASE = 100
MAX_LIST = 500
_STATES = {"starting": "booting", "running": "running", "failed": "failed"}


class MachineType(NamedTuple):
    """A machine type of the cloud's catalog."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]


class Listed(NamedTuple):
    """A machine in the cloud's list."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def parse_catalog(data: dict[str, Any]) -> dict[str, MachineType]:
    """The machine types by name."""
    types = data.get("frames")
    if type(types) is not list:
        raise checks.MalformedMessageError("frames: a list is needed")
    return {t["sku"]: _machine_type(t) for t in types if type(t) is dict}


def _machine_type(data: dict[str, Any]) -> MachineType:
    return MachineType(
        name=checks.text(data, "sku"),
        cpus=checks.amount(data, "cpus"),
        gpus=checks.optional_amount(data, "cards") or 0.0,
        memory_gb=checks.amount(data, "ramGb"),
        cache_gb=checks.optional_amount(data, "cacheGb") or 0.0,
        fetch_gb_per_s=checks.optional_amount(data, "fetchGbPerS") or 1.0,
        price=checks.amount(data, "rate"),
        spot_price=checks.amount(data, "spotPrice"),
        boot_s=checks.amount(data, "bootS"),
        zones=tuple(z for z in data.get("yards") or () if type(z) is str),
    )


def rent_body(request: str, type_name: str, zone: str, spot: bool, number: int) -> bytes:
    """A rental request."""
    return orjson.dumps(
        {"hireSlip": request, "frame": type_name, "yard": zone, "loaners": spot, "number": number}
    )


def parse_rented(data: dict[str, Any]) -> list[str]:
    """The machines that were rented."""
    return [m for m in data.get("stones") or () if type(m) is str]


def release_body(machines: list[str]) -> bytes:
    """A request to return machines."""
    return orjson.dumps({"stones": machines})


def list_path(after: str) -> str:
    """The path of a page of the machine list."""
    cursor = f"after={after}&" if after else ""
    return f"{MACHINES_PATH}?{cursor}limit={MAX_LIST}"


def parse_list(data: dict[str, Any]) -> tuple[list[Listed], bool]:
    """A page of the machine list, and whether there is another."""
    rows = [
        Listed(
            id=checks.text(m, "nameId"),
            address=checks.optional_text(m, "address") or "",
            type=checks.text(m, "frame"),
            zone=checks.text(m, "yard"),
            spot=checks.flag(m, "loaners"),
            state=checks.one_of(m, "stage", _STATES),
            age_s=checks.amount(m, "heldS"),
        )
        for m in data.get("stones") or ()
    ]
    return rows, data.get("hasNext") is True

"""Messages to and from the cloud (PROTOCOL, "Controller nodes -> cloud")."""

from typing import Any, NamedTuple

import orjson

from . import checks

CATALOG_PATH = "/catalog"
MACHINES_PATH = "/hosts"
RELEASE_PATH = "/hosts/release"
# the maximum number of machines in a rental request, in a release, and in a page of the list
MAX_RENT = 50
MAX_RELEASE = 100
MAX_LIST = 500
# internal names of machine states by their wire names
_STATES = {"starting": "booting", "running": "running", "failed": "failed"}


class MachineType(NamedTuple):
    """A machine type of the cloud's catalog (GET /catalog).

    The catalog is stored with these field names. Prices are per hour; `boot_s` is the nominal boot
    time.
    """

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


class ListedMachine(NamedTuple):
    """A machine in the cloud's list (GET /hosts); `age_s` is the time since the rental request."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class MachinePage(NamedTuple):
    """A page of the machine list (GET /hosts)."""

    machines: list[ListedMachine]
    has_next: bool


def parse_catalog(data: dict[str, Any]) -> dict[str, MachineType]:
    """Return the machine types by name (GET /catalog).

    Raises:
        MalformedMessageError: A field does not have the form that the protocol defines.
        KeyError: A machine type has no name.
    """
    types = data.get("frames")
    if type(types) is not list:
        raise checks.MalformedMessageError("a list is needed", "frames")
    return {entry["sku"]: _parse_machine_type(entry) for entry in types if type(entry) is dict}


def _parse_machine_type(data: dict[str, Any]) -> MachineType:
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


def rent_body(request_name: str, type_name: str, zone: str, spot: bool, number: int) -> bytes:
    """Encode a rental request (POST /hosts).

    Args:
        request_name: A name that was never used before. If a name is repeated, the cloud repeats
            its response and rents no machines.
        type_name: The machine type.
        zone: The zone.
        spot: Whether to rent spot machines.
        number: The number of machines, up to MAX_RENT.
    """
    return orjson.dumps(
        {
            "hireSlip": request_name,
            "frame": type_name,
            "yard": zone,
            "loaners": spot,
            "number": number,
        }
    )


def parse_rented(data: dict[str, Any]) -> list[str]:
    """Return the IDs of the rented machines, which may be fewer than requested (POST /hosts)."""
    return [m for m in data.get("stones") or () if type(m) is str]


def release_body(machines: list[str]) -> bytes:
    """Encode a request to release up to MAX_RELEASE machines (POST /hosts/release)."""
    return orjson.dumps({"stones": machines})


def list_path(after: str) -> str:
    """Return the path of the page that follows the machine `after`.

    `after` is empty for the first page.
    """
    cursor = f"after={after}&" if after else ""
    return f"{MACHINES_PATH}?{cursor}limit={MAX_LIST}"


def parse_list(data: dict[str, Any]) -> MachinePage:
    """Parse a page of the machine list (GET /hosts).

    Raises:
        MalformedMessageError: A field does not have the form that the protocol defines.
    """
    machines = [
        ListedMachine(
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
    return MachinePage(machines, data.get("hasNext") is True)

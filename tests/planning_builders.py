"""Machine types and idle machines for the planning tests."""

from crossmill.planning.demand import idle_capacity
from crossmill.planning.free_capacity import FreeCapacity, TaskFootprint
from crossmill.wire.cloud import parse_catalog

from .fake_cloud import CATALOG

TYPES = parse_catalog(CATALOG)
TYPICAL_GPU_TASK = TaskFootprint(5.0, 1.0, 35.0)


def idle_machine(
    machine: str, zone: str = "north", type_name: str = "g4", spot: bool = False
) -> FreeCapacity:
    """Return the capacity of a machine without tasks."""
    return idle_capacity(machine, TYPES[type_name], zone, spot)

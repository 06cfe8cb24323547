"""The raised feature level as it is stored (cluster/feature_level.py raises it)."""

from typing import Any, NamedTuple


class Level(NamedTuple):
    """The raised level, with the sizes of chunks that stored plans have from then on."""

    number: int
    legacy_tasks: int
    segment_tasks: int


def encode_level(level: Level) -> dict[str, Any]:
    """The level's stored record."""
    return {
        "level": level.number,
        "legacy_tasks": level.legacy_tasks,
        "segment_tasks": level.segment_tasks,
    }


def decode_level(value: dict[str, Any]) -> Level:
    """The level from its stored record."""
    return Level(value["level"], value["legacy_tasks"], value["segment_tasks"])

"""How a job's plan is cut into chunks, each stored under a key of its own.

The *legacy* layout numbers the chunks: chunk `n` holds the tasks from `n * legacy_tasks` on.
Once the feature level is raised, plans are written in *segments*, whose name says what they
hold: `FIRST-TASKS`. Segments never cross the border of a legacy chunk. Both sizes are durable
in the level's record, so that no later change of settings can shift what a stored chunk means.
"""

from collections.abc import Container, Iterator
from dataclasses import dataclass
from typing import NamedTuple


class ChunkRange(NamedTuple):
    """The tasks that a chunk holds: from `first` up to, not including, `end`."""

    name: str
    first: int
    end: int

    @property
    def is_segment(self) -> bool:
        """Whether the name is a segment's, which says what it holds."""
        return "-" in self.name


@dataclass(frozen=True, slots=True)
class PlanLayout:
    """Sizes of chunks; `segment_tasks` is None until the feature level is raised."""

    legacy_tasks: int
    segment_tasks: int | None = None

    def parse(self, name: str) -> ChunkRange:
        """What the chunk of this name holds."""
        first, dash, tasks = name.partition("-")
        if dash:
            return ChunkRange(name, int(first), int(first) + int(tasks))
        number = int(name)
        return ChunkRange(name, number * self.legacy_tasks, (number + 1) * self.legacy_tasks)

    def legacy_of(self, index: int) -> ChunkRange:
        """The legacy chunk whose stretch the task lies in."""
        return self.parse(str(index // self.legacy_tasks))

    def segment_of(self, index: int) -> ChunkRange:
        """The segment that the task lies in; only after the level is raised."""
        assert self.segment_tasks is not None
        block = self.legacy_of(index)
        first = index - (index - block.first) % self.segment_tasks
        end = min(first + self.segment_tasks, block.end)
        return ChunkRange(f"{first}-{end - first}", first, end)

    def chunk_of(self, index: int, existing: Container[str]) -> ChunkRange:
        """The chunk in force for the task, given the names of a job's chunks."""
        legacy = self.legacy_of(index)
        if self.segment_tasks is None or legacy.name in existing:
            return legacy
        return self.segment_of(index)

    def chunks(self, tasks: int, existing: Container[str]) -> Iterator[ChunkRange]:
        """All chunks in force of a job with so many tasks, the last cut to them."""
        index = 0
        while index < tasks:
            chunk = self.chunk_of(index, existing)
            yield ChunkRange(chunk.name, chunk.first, min(chunk.end, tasks))
            index = chunk.end

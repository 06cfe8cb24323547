"""The division of a job's plan into chunks, each stored under a separate key.

The *legacy* layout numbers the chunks: chunk `n` contains `legacy_tasks` tasks, starting at task
`n * legacy_tasks`. Once the feature level is raised, plans are written in *segments*, whose names
`FIRST-TASKS` give the index of their first task and their number of tasks. A segment never crosses
the boundary between two legacy chunks. Both sizes are stored in the level's record, so that no
later change of settings can change the range of a stored chunk.
"""

from collections.abc import Container, Iterator
from typing import NamedTuple


class ChunkRange(NamedTuple):
    """The range of tasks that a chunk contains: from `first` up to, but excluding, `end`."""

    name: str
    first: int
    end: int

    @property
    def is_segment(self) -> bool:
        """Whether the chunk is a segment."""
        return "-" in self.name


class PlanLayout(NamedTuple):
    """The sizes of chunks in tasks; `segment_tasks` is None until the feature level is raised."""

    legacy_tasks: int
    segment_tasks: int | None = None

    def parse(self, name: str) -> ChunkRange:
        """Return the range of the chunk with this name."""
        first, dash, tasks = name.partition("-")
        if dash:
            return ChunkRange(name, int(first), int(first) + int(tasks))
        number = int(name)
        return ChunkRange(name, number * self.legacy_tasks, (number + 1) * self.legacy_tasks)

    def legacy_chunk_of(self, index: int) -> ChunkRange:
        """Return the legacy chunk whose range contains the task, whether or not it exists."""
        return self.parse(str(index // self.legacy_tasks))

    def segment_of(self, index: int) -> ChunkRange:
        """Return the segment that contains the task; its legacy chunk until the level is raised."""
        legacy = self.legacy_chunk_of(index)
        if self.segment_tasks is None:
            return legacy
        first = index - (index - legacy.first) % self.segment_tasks
        end = min(first + self.segment_tasks, legacy.end)
        return ChunkRange(f"{first}-{end - first}", first, end)

    def chunk_of(self, index: int, existing: Container[str]) -> ChunkRange:
        """Return the chunk in effect for the task, given the names of the job's existing chunks."""
        legacy = self.legacy_chunk_of(index)
        if self.segment_tasks is None or legacy.name in existing:
            return legacy
        return self.segment_of(index)

    def chunks(self, tasks: int, existing: Container[str]) -> Iterator[ChunkRange]:
        """Yield all chunks in effect of a job with `tasks` tasks; the last one ends at `tasks`."""
        index = 0
        while index < tasks:
            chunk = self.chunk_of(index, existing)
            yield ChunkRange(chunk.name, chunk.first, min(chunk.end, tasks))
            index = chunk.end

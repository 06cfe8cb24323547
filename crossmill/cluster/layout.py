"""How a job's plan is divided into chunks, each stored under a key of its own.

The *legacy* layout numbers the chunks: chunk `n` contains the tasks from `n * legacy_tasks` on.
Once the feature level is raised, plans are written in *segments*, whose names `FIRST-TASKS` say
what they contain. A segment never crosses the border between two legacy chunks. Both sizes are
durable in the level's record, so that no later change of settings can shift what a stored chunk
means.
"""

from collections.abc import Container, Iterator
from typing import NamedTuple


class ChunkRange(NamedTuple):
    """The tasks that a chunk contains: from `first` up to, not including, `end`."""

    name: str
    first: int
    end: int

    @property
    def is_segment(self) -> bool:
        """Whether the name is that of a segment."""
        return "-" in self.name


class PlanLayout(NamedTuple):
    """The sizes of chunks in tasks; `segment_tasks` is None until the feature level is raised."""

    legacy_tasks: int
    segment_tasks: int | None = None

    def parse(self, name: str) -> ChunkRange:
        """The range of the chunk of this name."""
        first, dash, tasks = name.partition("-")
        if dash:
            return ChunkRange(name, int(first), int(first) + int(tasks))
        number = int(name)
        return ChunkRange(name, number * self.legacy_tasks, (number + 1) * self.legacy_tasks)

    def legacy_chunk_of(self, index: int) -> ChunkRange:
        """The legacy chunk whose range the task lies in, whether or not it exists."""
        return self.parse(str(index // self.legacy_tasks))

    def segment_of(self, index: int) -> ChunkRange:
        """The segment that the task lies in; its legacy chunk until the level is raised."""
        legacy = self.legacy_chunk_of(index)
        if self.segment_tasks is None:
            return legacy
        first = index - (index - legacy.first) % self.segment_tasks
        end = min(first + self.segment_tasks, legacy.end)
        return ChunkRange(f"{first}-{end - first}", first, end)

    def chunk_of(self, index: int, existing: Container[str]) -> ChunkRange:
        """The chunk in force for the task, given the names of the job's chunks."""
        legacy = self.legacy_chunk_of(index)
        if self.segment_tasks is None or legacy.name in existing:
            return legacy
        return self.segment_of(index)

    def chunks(self, tasks: int, existing: Container[str]) -> Iterator[ChunkRange]:
        """All chunks in force of a job with so many tasks; the last ends with them."""
        index = 0
        while index < tasks:
            chunk = self.chunk_of(index, existing)
            yield ChunkRange(chunk.name, chunk.first, min(chunk.end, tasks))
            index = chunk.end

"""Records that tests write to the state service as other controllers would."""

from crossmill.cluster import keys
from crossmill.cluster.model import DONE, Level
from crossmill.cluster.records import encode_end, encode_level

from .builders import make_spec
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import MAX_RECORD_BYTES

# the chunk sizes of plans stored before the raise, and of segments written after it
LEGACY_CHUNK_TASKS = 512
SEGMENT_TASKS = 32


def raise_feature_level(state: StateService) -> None:
    """Raise the feature level, so that all controllers use this version's formats."""
    state.put(keys.LEVEL, encode_level(Level(1, LEGACY_CHUNK_TASKS, SEGMENT_TASKS)))


def store_finished_job(state: StateService, clock: FakeClock, job_id: str) -> None:
    """Store the record of a job that has just finished, replacing any earlier record."""
    record = encode_end(DONE, make_spec(nameId=job_id), clock.wall_time(), MAX_RECORD_BYTES)
    state.put(keys.job(job_id), record)


def store_finished_jobs_beyond(state: StateService, clock: FakeClock, kept: int) -> None:
    """Store five more finished jobs than the `kept` ones that are exempt from archiving."""
    for number in range(kept + 5):
        store_finished_job(state, clock, f"wk-{1000 + number:06d}")

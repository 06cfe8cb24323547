"""Job records in the format of the version in production, and a reader for that format."""

from crossmill.cluster import keys

from .fake_state_service import StateService

JOB = "wk-000001"
# every field that the version in production writes and reads
PRODUCTION_SPEC = {
    "id": JOB,
    "job_class": "chat",
    "team": "red",
    "kind": "array",
    "priority": "normal",
    "tasks": 2,
    "cpus": 4.0,
    "gpus": 1.0,
    "memory_gb": 16.0,
    "image": "img-1",
    "image_gb": 10.0,
    "types": None,
    "zone": None,
    "one_zone": False,
    "spread": False,
    "spot": False,
    "estimate_s": 40.0,
    "checkpoint_s": 0.0,
    "save_s": 0.0,
    "deadline_s": 100.0,
}
PRODUCTION_JOB = {"end": "", "at": 5.0, "spec": PRODUCTION_SPEC}
PRODUCTION_PREFIXES = (
    keys.JOB,
    keys.PLAN,
    keys.MACHINE,
    keys.SHARD,
    keys.CONTROLLER,
    keys.CANCELLATION_NOTE,
)


def read_as_production(state: StateService) -> None:
    """Parse every key as the production version does, which crashes on unknown formats."""
    for key, (value, _, _) in state.keys.items():
        if key.startswith(keys.PLAN):
            int(key.rpartition("/")[2])
            assert set(value) == {"next", "done", "rows"}
        elif key.startswith(keys.JOB):
            # the production version constructs the spec from all stored fields, and fails on others
            assert set(value["spec"]) == set(PRODUCTION_SPEC)
            assert "needs" not in value
        elif key.startswith(keys.SHARD):
            int(key[len(keys.SHARD) :])
        else:
            known_prefixes = (*PRODUCTION_PREFIXES, keys.FEATURE_NOTE, keys.ARCHIVE)
            assert key.startswith(known_prefixes) or key in (keys.LEADER, keys.TOKEN, keys.CATALOG)

"""Records as the version in production writes them, and how it reads what is stored."""

from crossmill.cluster import keys

from .fake_state_service import StateService

JOB = "wk-000001"
# what the version in production writes, and all that it reads
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
    """Parse every key as the production version does, which crashes on what it can't read."""
    for key, (value, _, _) in state.keys.items():
        if key.startswith(keys.PLAN):
            int(key.rpartition("/")[2])
            assert set(value) == {"next", "done", "rows"}
        elif key.startswith(keys.JOB):
            # it builds the job from every field of the spec, and knows no others
            assert set(value["spec"]) == set(PRODUCTION_SPEC)
            assert "needs" not in value
        elif key.startswith(keys.SHARD):
            int(key[len(keys.SHARD) :])
        else:
            known = (*PRODUCTION_PREFIXES, keys.FEATURE, keys.ARCHIVE)
            assert key.startswith(known) or key in (keys.LEADER, keys.TOKEN, keys.CATALOG)

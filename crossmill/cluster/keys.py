"""Names of keys in the state service.

Other versions of the program read and write these keys, so their spelling never changes.
"""

# the prefix of all keys that are watched and are read at startup
ROOT = "cm/"
JOB = ROOT + "j/"
PLAN = ROOT + "p/"
MACHINE = ROOT + "m/"
SHARD = ROOT + "s/"
CONTROLLER = ROOT + "n/"
# jobs to be cancelled once every controller that must know of it has read the note
CANCELLATION_NOTE = ROOT + "w/"
# controllers that support the next feature level; these keys are attached to no lease
FEATURE_NOTE = ROOT + "f/"
# the prefixes above are ROOT, a letter and a slash
PREFIX_LENGTH = len(JOB)
LEADER = ROOT + "leader"
# the counter from which fencing tokens are allocated
TOKEN = ROOT + "token"
CATALOG = ROOT + "catalog"
LEVEL = ROOT + "level"
# a counter of archivings, so that accepting a job can be conditional on none having occurred
ARCHIVINGS = ROOT + "archivings"
# outside ROOT, so that neither the watch nor a startup reads archived jobs
ARCHIVE = "ca/"


def job(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB + job_id


def cancellation_note(job_id: str) -> str:
    """Return the key of the note that a job is to be cancelled."""
    return CANCELLATION_NOTE + job_id


def archived(job_id: str) -> str:
    """Return the key of a job's archived record."""
    return ARCHIVE + job_id


def plan(job_id: str, chunk: str) -> str:
    """Return the key of a chunk of a job's plan."""
    return f"{PLAN}{job_id}/{chunk}"


def machine(machine_id: str) -> str:
    """Return the key of a machine's record."""
    return MACHINE + machine_id


def shard(index: int) -> str:
    """Return the key of a shard's owner."""
    return f"{SHARD}{index}"


def controller(label: str) -> str:
    """Return the key of a controller's record, which is attached to the controller's lease."""
    return CONTROLLER + label


def feature_note(label: str) -> str:
    """Return the key of the note that a controller supports the next feature level."""
    return FEATURE_NOTE + label

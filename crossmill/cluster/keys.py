"""Names of keys in the state service.

Their spelling is stored and read by other versions of the program, so it never changes.
"""

# the prefix of all keys that are watched and read at the start
ROOT = "cm/"
JOB = ROOT + "j/"
PLAN = ROOT + "p/"
MACHINE = ROOT + "m/"
SHARD = ROOT + "s/"
CONTROLLER = ROOT + "n/"
# jobs to be cancelled as soon as all controllers that must know of it do
CANCELLATION_NOTE = ROOT + "w/"
# the controllers that run a version of the next feature level; no lease removes them
FEATURE = ROOT + "f/"
# the prefixes above are ROOT, a letter and a slash
PREFIX_LENGTH = len(JOB)
LEADER = ROOT + "leader"
# the counter that fencing tokens are drawn from
TOKEN = ROOT + "token"
CATALOG = ROOT + "catalog"
LEVEL = ROOT + "level"
# counts archivings, so that accepting a job can be conditional on none having happened
ARCHIVINGS = ROOT + "archivings"
# outside ROOT, so that neither the watch nor a start reads jobs that ended long ago
ARCHIVE = "ca/"


def job(job_id: str) -> str:
    """The key of a job's record."""
    return JOB + job_id


def cancellation_note(job_id: str) -> str:
    """The key of the note that a job is to be cancelled."""
    return CANCELLATION_NOTE + job_id


def archived(job_id: str) -> str:
    """The key of what is kept of a job that ended long ago."""
    return ARCHIVE + job_id


def plan(job_id: str, chunk: str) -> str:
    """The key of a chunk of a job's plan."""
    return f"{PLAN}{job_id}/{chunk}"


def machine(machine_id: str) -> str:
    """The key of a machine's record."""
    return MACHINE + machine_id


def shard(index: int) -> str:
    """The key of a shard's owner."""
    return f"{SHARD}{index}"


def controller(label: str) -> str:
    """The key of a controller's record, which stands under the controller's lease."""
    return CONTROLLER + label


def feature(label: str) -> str:
    """The key of the note that a controller runs a version of the next feature level."""
    return FEATURE + label

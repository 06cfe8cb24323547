"""Names of keys in the state service. A tenant's own prefix would come before these."""

ROOT = "cm/"
JOB = ROOT + "j/"
PLAN = ROOT + "p/"
MACHINE = ROOT + "m/"
SHARD = ROOT + "s/"
CONTROLLER = ROOT + "n/"
# jobs that are to be withdrawn as soon as all who must know do
CANCELLATION_NOTE = ROOT + "w/"
# the prefixes above and FEATURE: ROOT, a letter and a slash
PREFIX_LENGTH = len(JOB)
LEADER = ROOT + "leader"
TOKEN = ROOT + "token"
CATALOG = ROOT + "catalog"
# the controllers that run a version of the next feature level; no lease removes them
FEATURE = ROOT + "f/"
LEVEL = ROOT + "level"
# counts archivings, so that accepting a job can rest on none having happened
ARCHIVINGS = ROOT + "archivings"
# outside ROOT, so that neither the watch nor a start reads what has long been over
ARCHIVE = "ca/"


def job(job_id: str) -> str:
    """A job's record."""
    return JOB + job_id


def cancellation_note(job_id: str) -> str:
    """The note that a job is to be cancelled."""
    return CANCELLATION_NOTE + job_id


def archived(job_id: str) -> str:
    """What is kept of a job that was over long ago."""
    return ARCHIVE + job_id


def plan(job_id: str, chunk: str) -> str:
    """A stretch of a job's plan."""
    return f"{PLAN}{job_id}/{chunk}"


def machine(machine_id: str) -> str:
    """A machine's record."""
    return MACHINE + machine_id


def shard(index: int) -> str:
    """Who owns a shard."""
    return f"{SHARD}{index}"


def controller(label: str) -> str:
    """A controller that lives."""
    return CONTROLLER + label


def feature(label: str) -> str:
    """The note that a controller runs a version of the next feature level."""
    return FEATURE + label

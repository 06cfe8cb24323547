"""Names of keys in the state service. A tenant's own prefix would come before these."""

ROOT = "cm/"
JOB = ROOT + "j/"
PLAN = ROOT + "p/"
MACHINE = ROOT + "m/"
SHARD = ROOT + "s/"
NODE = ROOT + "n/"
LEADER = ROOT + "leader"
TOKEN = ROOT + "token"
CATALOG = ROOT + "catalog"


def job(job_id: str) -> str:
    return JOB + job_id


def plan(job_id: str, chunk: int) -> str:
    return f"{PLAN}{job_id}/{chunk}"


def machine(machine_id: str) -> str:
    return MACHINE + machine_id


def shard(index: int) -> str:
    return f"{SHARD}{index}"


def node(label: str) -> str:
    return NODE + label

"""Encoding and decoding of the stored records of multi-machine replicas."""

from typing import Any

import orjson

from crossmill.multihost.model import (
    Member,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
)
from crossmill.multihost.phases import (
    ReplicaPhase,
)
from crossmill.multihost.records import (
    decode_chunk,
    decode_machine,
    decode_replica,
    decode_set,
    encode_chunk,
    encode_machine,
    encode_replica,
    encode_set,
)

from .multihost_samples import MEMBER_RESOURCES, SPEC


def _stored(record: dict[str, Any]) -> Any:
    """Return the record as another version may have stored it, with an additional field."""
    return orjson.loads(orjson.dumps(record | {"later": 1}))


def test_a_set_is_decoded_as_it_was_stored() -> None:
    replica_set = ReplicaSet(SPEC._replace(zones=("north",), spread=True), True, 4, 9)
    decoded = decode_set(_stored(encode_set(replica_set)), 9)
    assert (decoded.spec, decoded.is_removed, decoded.next_number) == (replica_set.spec, True, 4)


def test_a_replica_is_decoded_as_it_was_stored() -> None:
    replica = Replica(
        ReplicaId("chat", 3), ReplicaPhase.REPAIRING, 1, stop_reason="drained", version=1
    )
    decoded = decode_replica(replica.id, _stored(encode_replica(replica)), 1)
    assert encode_replica(decoded) == encode_replica(replica)


def test_members_are_decoded_as_they_were_stored() -> None:
    members = (Member(0, "m-0", 1, 1), Member(1, "m-1", 2, 3))
    assert decode_chunk(_stored(encode_chunk(5, members)), 2).members == members


def test_a_machine_is_decoded_as_it_was_stored() -> None:
    machine = PoolMachine("m", "north", MEMBER_RESOURCES, 2.0, "disks")
    decoded = decode_machine("m", _stored(encode_machine(machine)), 1)
    assert encode_machine(decoded) == encode_machine(machine)

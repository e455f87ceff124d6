"""Identifiers that all parts of the program share."""

import typing

NodeId = typing.NewType("NodeId", str)
ZoneId = typing.NewType("ZoneId", str)
CellId = typing.NewType("CellId", str)
ServiceId = typing.NewType("ServiceId", str)
KeyId = typing.NewType("KeyId", str)
# A client account; empty for requests without one.
AccountId = typing.NewType("AccountId", str)
Partition = typing.NewType("Partition", int)
# A shard is the unit of ownership: a partition of a service, or a single key that is assigned
# separately.
ShardId = typing.NewType("ShardId", str)
Fence = typing.NewType("Fence", int)
Term = typing.NewType("Term", int)
ConfigVersion = typing.NewType("ConfigVersion", int)
# A random id drawn at each start, by which a restarted process differs from its predecessor.
Incarnation = typing.NewType("Incarnation", str)
Address = typing.NewType("Address", str)
Fingerprint = typing.NewType("Fingerprint", str)
# One start of a target. A target that restarts under the same name has another lifetime.
Lifetime = typing.NewType("Lifetime", str)
# Where targets hold ranges of keys, a key is a number from 0 to LAST_KEY_SLOT.
KeySlot = typing.NewType("KeySlot", int)
LAST_KEY_SLOT = KeySlot(65_535)

KEY_PREFIX = "key:"


def name_partition(service: ServiceId, partition: Partition) -> ShardId:
    """Return the shard of a partition.

    :param service: the service.
    :param partition: the partition's number, from 0.
    """
    return ShardId(f"{service}/{partition}")


def name_key(service: ServiceId, key: KeyId) -> ShardId:
    """Return the shard of a single key.

    :param service: the service.
    :param key: the key.
    """
    return ShardId(f"{service}/{KEY_PREFIX}{key}")


def split_shard(shard: ShardId) -> tuple[ServiceId, Partition | None, KeyId | None]:
    """Return the service of a shard, and either its partition or its key.

    :param shard: a name returned by :func:`name_partition` or :func:`name_key`.
    """
    service, _, rest = shard.partition("/")
    if rest.startswith(KEY_PREFIX):
        return ServiceId(service), None, KeyId(rest[len(KEY_PREFIX) :])
    return ServiceId(service), Partition(int(rest)), None

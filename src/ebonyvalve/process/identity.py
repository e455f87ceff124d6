"""Identifiers shared by every part of the program."""

import typing

NodeId = typing.NewType("NodeId", str)
ZoneId = typing.NewType("ZoneId", str)
CellId = typing.NewType("CellId", str)
ServiceId = typing.NewType("ServiceId", str)
KeyId = typing.NewType("KeyId", str)
Partition = typing.NewType("Partition", int)
# A shard is the unit of ownership: a partition of a service, or one key assigned on its own.
ShardId = typing.NewType("ShardId", str)
Fence = typing.NewType("Fence", int)
Term = typing.NewType("Term", int)
ConfigVersion = typing.NewType("ConfigVersion", int)
# A random id drawn at each start, so that a restarted process is told from its predecessor.
Incarnation = typing.NewType("Incarnation", str)
Address = typing.NewType("Address", str)
Fingerprint = typing.NewType("Fingerprint", str)
# One start of a target. A target that starts again under its old name is another lifetime.
Lifetime = typing.NewType("Lifetime", str)
# Keys are numbers from 0 to LAST_SLOT where targets hold ranges of them.
KeySlot = typing.NewType("KeySlot", int)
LAST_SLOT = KeySlot(65_535)

KEY_PREFIX = "key:"


def name_partition(service: ServiceId, partition: Partition) -> ShardId:
    """Return the shard of a partition.

    :param service: the service.
    :param partition: the partition's number, from 0.
    """
    return ShardId(f"{service}/{partition}")


def name_key(service: ServiceId, key: KeyId) -> ShardId:
    """Return the shard of a key that is assigned on its own.

    :param service: the service.
    :param key: the key.
    """
    return ShardId(f"{service}/{KEY_PREFIX}{key}")


def split_shard(shard: ShardId) -> tuple[ServiceId, Partition | None, KeyId | None]:
    """Return the service, and either the partition or the key, that a shard names.

    :param shard: a name made by :func:`name_partition` or :func:`name_key`.
    """
    service, _, rest = shard.partition("/")
    if rest.startswith(KEY_PREFIX):
        return ServiceId(service), None, KeyId(rest[len(KEY_PREFIX) :])
    return ServiceId(service), Partition(int(rest)), None

"""The objects of an accepted configuration, indexed for lookups on every request."""

import collections.abc
import dataclasses

import xxhash

from ebonyvalve.process import identity
from ebonyvalve.version import objects


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """One accepted configuration. A new version replaces the object; it is never modified."""

    version: identity.ConfigVersion
    services: dict[identity.ServiceId, objects.Service]
    zones: dict[identity.ZoneId, objects.AvailabilityZone]
    keys: dict[str, objects.Key]
    rules: dict[str, objects.AssignmentRule]
    drains: dict[str, objects.DrainOrder]


def build_snapshot(
    version: identity.ConfigVersion, entries: collections.abc.Iterable[objects.AnyObject]
) -> Snapshot:
    """Build a snapshot from the objects of a checked configuration.

    :param version: the version under which they were accepted.
    :param entries: the objects.
    """
    listed = list(entries)
    return Snapshot(
        version=version,
        services={entry.name: entry for entry in listed if isinstance(entry, objects.Service)},
        zones={
            entry.name: entry for entry in listed if isinstance(entry, objects.AvailabilityZone)
        },
        keys={entry.name: entry for entry in listed if isinstance(entry, objects.Key)},
        rules={entry.name: entry for entry in listed if isinstance(entry, objects.AssignmentRule)},
        drains={entry.name: entry for entry in listed if isinstance(entry, objects.DrainOrder)},
    )


def find_partition(service: objects.Service, key: identity.KeyId) -> identity.Partition:
    """Return the partition of a key.

    :param service: the service.
    :param key: the key.
    """
    return identity.Partition(xxhash.xxh3_64_intdigest(key.encode()) % service.partitions)


def find_shard(
    service: objects.Service,
    key: identity.KeyId,
    assigned: collections.abc.Container[identity.ShardId],
) -> identity.ShardId:
    """Return the shard that serves a key.

    :param service: the service.
    :param key: the key.
    :param assigned: the shards known at present; a key that has its own shard uses that one.
    """
    key_shard = identity.name_key(service.name, key)
    if key_shard in assigned:
        return key_shard
    return identity.name_partition(service.name, find_partition(service, key))


def list_shards(snapshot: Snapshot) -> collections.abc.Iterator[identity.ShardId]:
    """Yield the shards that a configuration defines: all partitions, and keys with their own shard.

    :param snapshot: the configuration.
    """
    for service in snapshot.services.values():
        if service.is_keyed:
            for number in range(service.partitions):
                yield identity.name_partition(service.name, identity.Partition(number))
    for entry in snapshot.keys.values():
        service_object = snapshot.services.get(entry.service)
        if service_object is not None and service_object.is_keyed:
            yield identity.name_key(entry.service, entry.key)


def is_drained(snapshot: Snapshot, node: identity.NodeId, zone: identity.ZoneId) -> bool:
    """Return whether a drain order takes a node out of service.

    :param snapshot: the configuration.
    :param node: the node.
    :param zone: its availability zone.
    """
    return any(order.zone == zone or node in order.nodes for order in snapshot.drains.values())

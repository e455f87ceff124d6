"""What the coordinator asks of placement, and what placement answers."""

import collections.abc
import dataclasses
import enum

from ebonyvalve.process import identity, message


class MoveReason(enum.Enum):
    """Why a shard gets another owner."""

    ORPHANED = "orphaned"
    LEAVING = "leaving"
    RULE = "rule"
    REBALANCE = "rebalance"
    HOT_KEY = "hot-key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementView:
    """What placement may consider. Members without a lease are not listed.

    ``owners`` maps every shard of every keyed service to its owner, or to ``None``. ``loads`` is in
    target seconds per second, as measured by the owners. ``hot_keys`` gives the share of the load
    of a partition that single keys carry.
    """

    members: dict[identity.NodeId, message.Member]
    owners: dict[identity.ShardId, identity.NodeId | None]
    loads: dict[identity.ShardId, float]
    hot_keys: dict[identity.ShardId, float]
    now_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """A change of one shard's owner."""

    shard: identity.ShardId
    source: identity.NodeId | None
    target: identity.NodeId
    reason: MoveReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Changes that the coordinator shall carry out, in this order.

    ``split`` lists keys that become shards of their own at their present owner; ``merge`` lists
    such shards that go back into their partition and are already at the partition's owner.
    """

    split: list[identity.ShardId]
    merge: list[identity.ShardId]
    moves: list[Move]


PlaceShards = collections.abc.Callable[[PlacementView], Plan]

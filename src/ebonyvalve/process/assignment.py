"""Input and output of placement, which plans for the coordinator which node owns each shard."""

import collections.abc
import dataclasses
import enum

from ebonyvalve.process import identity, message


class MoveReason(enum.Enum):
    """Why a shard is moved to another owner."""

    ORPHANED = "orphaned"
    LEAVING = "leaving"
    RULE = "rule"
    REBALANCE = "rebalance"
    HOT_KEY = "hot-key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacementView:
    """State of the cell for placement. Members without a valid lease are not listed.

    ``owners`` maps every shard of every keyed service to its owner, or to ``None``. ``loads`` is in
    busy slots, that is seconds of work at the target per second, as measured by the owners.
    ``hot_keys`` maps single keys to their share of the load of their partition.
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
    """Changes for the coordinator to make, in this order.

    ``split`` lists keys that become shards of their own at their current owner. ``merge`` lists
    such shards that are merged back into their partition; the partition's owner holds them already.
    """

    split: list[identity.ShardId]
    merge: list[identity.ShardId]
    moves: list[Move]


PlaceShards = collections.abc.Callable[[PlacementView], Plan]

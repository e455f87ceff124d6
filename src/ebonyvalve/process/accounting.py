"""Measures the load of shards and finds hot keys, at the node that owns them.

Load is measured in target seconds: for each request, the seconds from its sending to the target to
the head of the reply, or until its deadline passed.

Sums decay exponentially with time. Instead of reducing every sum at every request, later requests
get a higher weight (forward decay): a request at time t adds its cost times
exp((t - landmark) / DECAY_S), and a read divides by the same factor for the present time.

Hot keys are found with a Misra-Gries sketch that is pruned in batches. It holds at most
``2 * KEY_COUNTERS`` keys of at most ``MAX_KEY_LENGTH`` characters, however many keys are in use:
under 0.5 MB with ASCII keys of that length, under 0.1 MB with keys of 16 characters. The load of a
key is never overestimated, and underestimated by at most 1 / (KEY_COUNTERS + 1) of the node's load.
"""

import dataclasses
import math

from ebonyvalve.process import identity, message

# Time constant of the decay. At 100 requests/s per shard, the load has a relative error of 4%, and
# reflects 90% of a step change within 7 s.
DECAY_S = 3.0
# Counters after a prune. The error of 0.4% is far below the lowest reported share.
KEY_COUNTERS = 256
# Longer keys are not tracked, to bound the memory of the sketch; their load counts only for their
# partition.
MAX_KEY_LENGTH = 256
# Keys below this share of the node's load are not reported. Placement splits keys off at 20% of a
# target's fair load; even a node with six times its fair load still reports such a key.
MIN_SHARE = 0.03
# Keys per heartbeat. At most 33 keys can have 3% each; the 16 hottest are the first to split off.
MAX_KEYS = 16
# The first requests of a shard don't give a rate yet, so its age counts as at least this.
MIN_AGE_S = 1.0
# The weights are rescaled before they grow so large that adding floats loses precision.
MAX_EXPONENT = 20.0


@dataclasses.dataclass(kw_only=True)
class Account:
    """Sums of target seconds by shard and by key, weighted relative to the landmark."""

    landmark_s: float
    sums: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    since_s: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    # The shards that are partitions. Other shards are single keys and need no sketch.
    partitions: set[identity.ShardId] = dataclasses.field(default_factory=set)
    key_sums: dict[tuple[identity.ShardId, identity.KeyId], float] = dataclasses.field(
        default_factory=dict
    )


def record(
    account: Account, shard: identity.ShardId, key: identity.KeyId, used_s: float, now_s: float
) -> None:
    """Add a request that the target has run.

    :param account: changed in place.
    :param shard: the shard under which the request ran.
    :param key: the key of the request.
    :param used_s: the target seconds that it used.
    :param now_s: the time in seconds.
    """
    exponent = (now_s - account.landmark_s) / DECAY_S
    if exponent > MAX_EXPONENT:
        rescale(account, now_s)
        exponent = 0.0
    weight = used_s * math.exp(exponent)
    sums = account.sums
    if shard in sums:
        sums[shard] += weight
    else:
        sums[shard] = weight
        account.since_s[shard] = now_s
        if identity.split_shard(shard)[2] is None:
            account.partitions.add(shard)
    if len(key) > MAX_KEY_LENGTH or shard not in account.partitions:
        return
    entry = (shard, key)
    key_sums = account.key_sums
    key_sums[entry] = key_sums.get(entry, 0.0) + weight
    if len(key_sums) > 2 * KEY_COUNTERS:
        prune(account)


def prune(account: Account) -> None:
    """Reduce the sketch to at most ``KEY_COUNTERS`` keys.

    Each prune subtracts the same amount from more than ``KEY_COUNTERS`` counters, so these amounts
    add up to at most the total load divided by ``KEY_COUNTERS + 1``.

    :param account: changed in place.
    """
    ranked = sorted(account.key_sums.values(), reverse=True)
    subtracted = ranked[KEY_COUNTERS]
    account.key_sums = {
        entry: value - subtracted for entry, value in account.key_sums.items() if value > subtracted
    }


def rescale(account: Account, now_s: float) -> None:
    """Move the landmark to the present time and rescale all sums.

    :param account: changed in place.
    :param now_s: the time in seconds.
    """
    factor = math.exp((account.landmark_s - now_s) / DECAY_S)
    account.sums = {shard: value * factor for shard, value in account.sums.items()}
    account.key_sums = {entry: value * factor for entry, value in account.key_sums.items()}
    account.landmark_s = now_s


def forget(account: Account, shard: identity.ShardId) -> None:
    """Remove a shard that the node no longer owns.

    :param account: changed in place.
    :param shard: the shard.
    """
    account.sums.pop(shard, None)
    account.since_s.pop(shard, None)
    account.partitions.discard(shard)
    for entry in [entry for entry in account.key_sums if entry[0] == shard]:
        del account.key_sums[entry]


def forget_key(account: Account, shard: identity.ShardId, key: identity.KeyId) -> None:
    """Remove a key that is split off from its partition's load.

    :param account: changed in place.
    :param shard: the partition.
    :param key: the key.
    """
    value = account.key_sums.pop((shard, key), 0.0)
    if shard in account.sums:
        account.sums[shard] = max(0.0, account.sums[shard] - value)


def find_load(account: Account, shard: identity.ShardId, now_s: float) -> float:
    """Return the load of a shard, in target seconds per second.

    The sum is divided by the part of the decay window that has passed since the shard's first
    request, so that a newly granted shard doesn't appear idle.

    :param account: the account.
    :param shard: the shard.
    :param now_s: the time in seconds.
    """
    value = account.sums.get(shard, 0.0)
    if value == 0.0:
        return 0.0
    age_s = max(MIN_AGE_S, now_s - account.since_s[shard])
    decay = math.exp((account.landmark_s - now_s) / DECAY_S)
    return value * decay / (DECAY_S * (1.0 - math.exp(-age_s / DECAY_S)))


def list_loads(account: Account, now_s: float) -> list[message.ShardLoad]:
    """Return the loads of all shards, for a heartbeat.

    :param account: the account.
    :param now_s: the time in seconds.
    """
    return [
        message.ShardLoad(shard=shard, load=find_load(account, shard, now_s))
        for shard in account.sums
    ]


def list_hot_keys(
    account: Account, now_s: float
) -> list[tuple[identity.ServiceId, identity.KeyId, float]]:
    """Return the hot keys of the node, hottest first, for a heartbeat.

    The third item of each is the key's share of its partition's load.

    :param account: the account.
    :param now_s: the time in seconds.
    """
    min_sum = MIN_SHARE * sum(account.sums.values())
    ranked = sorted(
        (entry for entry in account.key_sums.items() if entry[1] >= min_sum and entry[1] > 0.0),
        key=lambda entry: (-entry[1], entry[0]),
    )
    return [
        (identity.split_shard(shard)[0], key, min(1.0, value / account.sums[shard]))
        for (shard, key), value in ranked[:MAX_KEYS]
    ]

"""Memory of used one-time tokens, one per shard, kept for as long as the node owns the shard."""

import base64
import dataclasses
import typing

import msgspec
import xxhash

from ebonyvalve.process import identity, message

# Identifies a token within a memory: the digest of its key, followed by its random bytes.
TokenId = typing.NewType("TokenId", bytes)
# The digest of the key that a token is bound to; empty for services without keys.
KeyDigest = typing.NewType("KeyDigest", bytes)

NODE_PREFIX = "node:"
ALL_KEYS = KeyDigest(b"")
# A token takes 157 bytes and a full memory 21 MB of the 64 MB that a node may use for control data
# (bench/tokens.py). With a token life of 300 s, this allows 437 non-idempotent requests/s.
DEFAULT_LIMIT = 131_072
# Refusing an import would lose tokens, so an import may exceed the limit up to this factor.
MAX_IMPORT_FACTOR = 2
UNKNOWN = "unknown"
# Tokens contain whole milliseconds, and a clock that is transferred in a handover has rounding
# errors. A token issued just before its epoch ended must not appear to have been issued afterwards.
CLOCK_TOLERANCE_S = 0.001


class Record(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """Outcome of the request that used a token.

    ``verdict`` is the value of a ``request.outcome.Verdict``, and ``used_at`` the time of use in
    seconds on the node's clock.
    """

    verdict: str
    status: int
    used_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Epoch:
    """The tokens that were issued for a shard under one fencing token."""

    shard: identity.ShardId
    fence: identity.Fence
    # Restricts the epoch to one key that was split off or merged back.
    key: KeyDigest = ALL_KEYS


@dataclasses.dataclass(kw_only=True)
class EpochCoverage:
    """Which tokens of an epoch the memory covers.

    The issuer's clock is at ``now - offset_s``. Tokens issued at or before ``horizon_s`` on that
    clock may have been forgotten, and none was issued after ``closed_s``. ``split_keys`` has the
    keys that were split off, with the time of the split on the issuer's clock; their tokens issued
    until then belong to the memory of the split-off key.
    """

    offset_s: float = 0.0
    horizon_s: float = float("-inf")
    closed_s: float = float("inf")
    split_keys: dict[KeyDigest, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Quota:
    """Limit and number of the tokens remembered for all shards of a node."""

    limit: int = DEFAULT_LIMIT
    count: int = 0


@dataclasses.dataclass(kw_only=True)
class Memory:
    """Token memory of one shard.

    ``used`` holds the tokens whose requests have ended, ordered by the time of use, and ``running``
    those whose requests have not. A token is valid for ``life_s`` seconds.
    """

    shard: identity.ShardId
    fence: identity.Fence
    life_s: float
    quota: Quota
    coverage: dict[Epoch, EpochCoverage] = dataclasses.field(default_factory=dict)
    used: dict[TokenId, Record] = dataclasses.field(default_factory=dict)
    running: set[TokenId] = dataclasses.field(default_factory=set)
    # Memories of keys that were split off, where their running requests are to be finished.
    split_memories: dict[KeyDigest, "Memory"] = dataclasses.field(default_factory=dict)
    # Set by an export: a token that is used afterwards could be used again at the next owner.
    is_closed: bool = False


def name_node_shard(service: identity.ServiceId, node: identity.NodeId) -> identity.ShardId:
    """Return the shard id under which a node issues tokens for a service without keys.

    :param service: the service.
    :param node: the issuing node.
    """
    return identity.ShardId(f"{service}/{NODE_PREFIX}{node}")


def derive_fence(incarnation: identity.Incarnation) -> identity.Fence:
    """Derive the number that replaces the fencing token in tokens for a service without keys.

    :param incarnation: the issuing node's incarnation.
    """
    return identity.Fence(xxhash.xxh3_64_intdigest(incarnation.encode()))


def digest_key(key: identity.KeyId | None) -> KeyDigest:
    """Return the digest of a key.

    :param key: the key, or ``None`` for services without keys.
    """
    return ALL_KEYS if key is None else KeyDigest(xxhash.xxh3_64_digest(key.encode()))


def create(
    *,
    shard: identity.ShardId,
    fence: identity.Fence,
    life_s: float,
    quota: Quota,
) -> Memory:
    """Return an empty memory for a shard that was granted without one.

    :param shard: the shard, or the result of :func:`name_node_shard` for services without keys.
    :param fence: the fencing token, or the result of :func:`derive_fence`.
    :param life_s: seconds for which a token is valid.
    :param quota: shared by all memories of the node.
    """
    memory = Memory(shard=shard, fence=fence, life_s=life_s, quota=quota)
    memory.coverage[Epoch(shard=shard, fence=fence)] = EpochCoverage()
    return memory


def find_coverage(
    memory: Memory,
    shard: identity.ShardId,
    fence: identity.Fence,
    *,
    key: KeyDigest,
    issued_s: float,
) -> EpochCoverage | None:
    """Return the coverage of a token's epoch, or ``None`` if the memory doesn't cover the token.

    :param memory: the shard's memory.
    :param shard: the shard named by the token.
    :param fence: the fencing token named by the token.
    :param key: the digest of the token's key.
    :param issued_s: when the token was issued, on the issuer's clock.
    """
    key_coverage = memory.coverage.get(Epoch(shard=shard, fence=fence, key=key))
    if key_coverage is not None and issued_s <= key_coverage.closed_s:
        return key_coverage
    shard_coverage = memory.coverage.get(Epoch(shard=shard, fence=fence))
    if shard_coverage is None or issued_s <= shard_coverage.split_keys.get(key, float("-inf")):
        return None
    return shard_coverage


def is_expired(memory: Memory, coverage: EpochCoverage, issued_s: float, now: float) -> bool:
    """Return whether a token has expired.

    The horizon keeps a token expired when the token life is increased, or when the clock that was
    transferred in a handover lags by the time that the handover took.

    :param memory: the shard's memory.
    :param coverage: the epoch's coverage.
    :param issued_s: when the token was issued, on the issuer's clock.
    :param now: seconds on the node's clock.
    """
    return issued_s <= coverage.horizon_s or now - coverage.offset_s - issued_s >= memory.life_s


def forget(memory: Memory, now: float) -> int:
    """Remove entries of expired tokens, and return how many used tokens were removed.

    A used token is remembered for a full token life after its use, which is never less than its
    remaining life. Thus the entries are ordered by the time of their removal.

    :param memory: the shard's memory.
    :param now: seconds on the node's clock.
    """
    cutoff_s = now - memory.life_s
    for epoch, coverage in list(memory.coverage.items()):
        coverage.horizon_s = max(coverage.horizon_s, cutoff_s - coverage.offset_s)
        for key in [key for key, at_s in coverage.split_keys.items() if at_s <= coverage.horizon_s]:
            del coverage.split_keys[key]
        if coverage.closed_s <= coverage.horizon_s:
            del memory.coverage[epoch]
    forgotten = []
    for token, record in memory.used.items():
        if record.used_at > cutoff_s:
            break
        forgotten.append(token)
    for token in forgotten:
        del memory.used[token]
    memory.quota.count -= len(forgotten)
    return len(forgotten)


def drop(memory: Memory) -> None:
    """Release the quota of a memory whose shard this node lost or handed over.

    :param memory: the shard's memory; it must not be used afterwards.
    """
    memory.is_closed = True
    memory.quota.count -= len(memory.used) + len(memory.running)
    memory.used.clear()
    memory.running.clear()


def export_memory(memory: Memory, now: float) -> message.TokenMemory:
    """Close the memory and return it for a handover; a repeated call returns the same tokens.

    Requests that are still running are exported with verdict ``unknown``.

    :param memory: the memory of the shard that is released.
    :param now: seconds on the node's clock.
    """
    forget(memory, now)
    memory.is_closed = True
    records = dict(memory.used)
    for token in memory.running:
        records[token] = Record(verdict=UNKNOWN, status=0, used_at=now)
    return message.TokenMemory(
        shard=memory.shard,
        epochs=[(epoch.shard, epoch.fence) for epoch in memory.coverage],
        used=[
            message.UsedToken(
                token=_encode(token),
                verdict=record.verdict,
                status=record.status,
                age_s=now - record.used_at,
            )
            for token, record in records.items()
        ],
        coverage=[
            message.Coverage(
                clock_s=now - coverage.offset_s,
                horizon_s=coverage.horizon_s,
                closed_s=min(coverage.closed_s, now - coverage.offset_s + CLOCK_TOLERANCE_S),
                key=_encode(epoch.key),
                split_keys=[(_encode(key), at_s) for key, at_s in coverage.split_keys.items()],
            )
            for epoch, coverage in memory.coverage.items()
        ],
    )


def import_memory(memory: Memory, moved: message.TokenMemory, now: float) -> bool:
    """Add a memory that came with a grant, and return whether the quota had room for it.

    Without room, its tokens are not covered and are refused as lost. Known epochs and tokens are
    not changed, so a grant may be delivered twice. If the memory is of a key that is merged back
    into its partition, its epochs apply to that key only.

    :param memory: the memory of the granted shard.
    :param moved: the result of the former owner's :func:`export_memory`.
    :param now: seconds on the node's clock.
    """
    key = ALL_KEYS
    if moved.shard != memory.shard:
        key = digest_key(identity.split_shard(moved.shard)[2])
    named = {TokenId(_decode(used.token)): used for used in moved.used}
    known = memory.used.keys() | memory.running
    new = {token: used for token, used in named.items() if token not in known}
    if memory.quota.count + len(new) > MAX_IMPORT_FACTOR * memory.quota.limit:
        return False
    for (shard, fence), coverage in zip(moved.epochs, moved.coverage, strict=False):
        epoch = Epoch(shard=shard, fence=fence, key=key or KeyDigest(_decode(coverage.key)))
        if epoch in memory.coverage:
            continue
        memory.coverage[epoch] = EpochCoverage(
            offset_s=now - coverage.clock_s,
            horizon_s=coverage.horizon_s,
            closed_s=coverage.closed_s,
            split_keys={
                KeyDigest(_decode(split_key)): at_s for split_key, at_s in coverage.split_keys
            },
        )
    for token, used in new.items():
        memory.used[token] = Record(
            verdict=used.verdict, status=used.status, used_at=now - used.age_s
        )
    memory.quota.count += len(new)
    memory.used = dict(sorted(memory.used.items(), key=lambda item: item[1].used_at))
    return True


def split(
    memory: Memory,
    *,
    key: identity.KeyId,
    shard: identity.ShardId,
    fence: identity.Fence,
    now: float,
) -> Memory:
    """Split a key off a partition and return the memory of the key's own shard.

    The partition's memory no longer covers the tokens that it issued for the key, because they may
    be used at the key's next owner, which may be lost before the key is merged back.

    :param memory: the partition's memory.
    :param key: the key.
    :param shard: the key's own shard.
    :param fence: the fencing token of the key's own shard.
    :param now: seconds on the node's clock.
    """
    digest = digest_key(key)
    key_memory = create(shard=shard, fence=fence, life_s=memory.life_s, quota=memory.quota)
    for epoch in [epoch for epoch in memory.coverage if epoch.key == digest]:
        key_memory.coverage[epoch] = memory.coverage.pop(epoch)
    for epoch, coverage in memory.coverage.items():
        if epoch.key != ALL_KEYS:
            continue
        split_s = now - coverage.offset_s + CLOCK_TOLERANCE_S
        earlier = key_memory.coverage.get(dataclasses.replace(epoch, key=digest))
        horizon_s = max(coverage.horizon_s, coverage.split_keys.get(digest, float("-inf")))
        key_memory.coverage[dataclasses.replace(epoch, key=digest)] = EpochCoverage(
            offset_s=coverage.offset_s,
            # If the key was merged back with its memory, the coverage has no gap.
            horizon_s=horizon_s if earlier is None else earlier.horizon_s,
            closed_s=min(coverage.closed_s, split_s),
        )
        coverage.split_keys[digest] = split_s
    memory.split_memories[digest] = key_memory
    for token in [token for token in memory.used if token.startswith(digest)]:
        key_memory.used[token] = memory.used.pop(token)
    for token in [token for token in memory.running if token.startswith(digest)]:
        memory.running.remove(token)
        key_memory.running.add(token)
    return key_memory


def _encode(digest: bytes) -> str:
    return base64.urlsafe_b64encode(digest).decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text)

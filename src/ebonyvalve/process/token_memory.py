"""Memory of used one-time tokens, one per shard, kept for as long as the node owns the shard."""

import base64
import dataclasses
import typing

import msgspec
import xxhash

from ebonyvalve.process import identity, message

# Identifies a token within a memory: the digest of its key and its random bytes.
TokenId = typing.NewType("TokenId", bytes)
# The digest of the key that a token is bound to; empty for services without keys.
KeyDigest = typing.NewType("KeyDigest", bytes)

NODE_PREFIX = "node:"
ALL_KEYS = KeyDigest(b"")
# A token takes 157 bytes and a full memory 21 MB of the 64 MB that a node may spend on control
# (bench/tokens.py). With a token life of 300 s it sustains 437 non-idempotent requests/s.
DEFAULT_LIMIT = 131_072
# An import cannot be refused without losing tokens, so it may exceed the limit up to this factor.
MAX_IMPORT_FACTOR = 2
UNKNOWN = "unknown"
# Tokens carry whole milliseconds, and a clock that is carried over is off by rounding errors. A
# token issued just before its epoch ended must not appear to have been issued afterwards.
CLOCK_TOLERANCE_S = 0.001


class Record(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """What became of the request that used a token.

    ``verdict`` is the value of a ``request.outcome.Verdict``.
    """

    verdict: str
    status: int
    used_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Epoch:
    """Tokens that were issued for a shard under one fencing token."""

    shard: identity.ShardId
    fence: identity.Fence
    # Restricts the epoch to one key, after that key was split off or merged back.
    key: KeyDigest = ALL_KEYS


@dataclasses.dataclass(kw_only=True)
class EpochCoverage:
    """How far an epoch is covered.

    The issuer's clock reads ``now - offset_s``. Tokens issued at or before ``horizon_s`` on that
    clock may have been forgotten. The issuer issued none after ``closed_s``. ``split_keys`` has the
    keys that were split off, with the time of the split on the issuer's clock: the tokens issued
    for them until then went with the split.
    """

    offset_s: float = 0.0
    horizon_s: float = float("-inf")
    closed_s: float = float("inf")
    split_keys: dict[KeyDigest, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Quota:
    """The number of tokens remembered by all shards of a node."""

    limit: int = DEFAULT_LIMIT
    count: int = 0


@dataclasses.dataclass(kw_only=True)
class Memory:
    """Token memory of one shard.

    ``used`` is ordered by the time of use.
    """

    shard: identity.ShardId
    fence: identity.Fence
    life_s: float
    quota: Quota
    coverage: dict[Epoch, EpochCoverage] = dataclasses.field(default_factory=dict)
    used: dict[TokenId, Record] = dataclasses.field(default_factory=dict)
    running: set[TokenId] = dataclasses.field(default_factory=set)
    # Memories of keys that were split off while their requests ran.
    split_memories: dict[KeyDigest, "Memory"] = dataclasses.field(default_factory=dict)
    # Set by an export: a token that began afterwards could run again at the next owner.
    is_closed: bool = False


def name_node_shard(service: identity.ServiceId, node: identity.NodeId) -> identity.ShardId:
    """Return the name under which a node issues tokens for a service without keys.

    :param service: the service.
    :param node: the issuing node.
    """
    return identity.ShardId(f"{service}/{NODE_PREFIX}{node}")


def derive_fence(incarnation: identity.Incarnation) -> identity.Fence:
    """Return the number that stands for a node's incarnation in tokens without a fencing token.

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
    """Return the empty memory of a shard that was granted without a memory.

    :param shard: the shard, or :func:`name_node` for services without keys.
    :param fence: the fencing token, or :func:`fence_incarnation`.
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
    """Return how far the memory covers a token's epoch, or ``None`` if it does not.

    :param memory: the shard's memory.
    :param shard: the shard named by the token.
    :param fence: the fencing token named by the token.
    :param key: the digest of the token's key.
    :param issued_s: when the token was issued, on the issuer's clock.
    """
    own = memory.coverage.get(Epoch(shard=shard, fence=fence, key=key))
    if own is not None and issued_s <= own.closed_s:
        return own
    shared = memory.coverage.get(Epoch(shard=shard, fence=fence))
    if shared is None or issued_s <= shared.split_keys.get(key, float("-inf")):
        return None
    return shared


def is_expired(memory: Memory, coverage: EpochCoverage, issued_s: float, now: float) -> bool:
    """Return whether a token's life is over.

    The horizon keeps a token expired when the life is made longer, or when the clock that was
    carried over by a handover lags by the time that the handover took.

    :param memory: the shard's memory.
    :param coverage: the epoch's coverage.
    :param issued_s: when the token was issued, on the issuer's clock.
    :param now: seconds on the node's clock.
    """
    return issued_s <= coverage.horizon_s or now - coverage.offset_s - issued_s >= memory.life_s


def forget(memory: Memory, now: float) -> int:
    """Forget what concerns expired tokens only, and return how many tokens were forgotten.

    A token is remembered for its life after its use, which is never shorter than its remaining
    life. This keeps the entries in the order in which they are forgotten.

    :param memory: the shard's memory.
    :param now: seconds on the node's clock.
    """
    past = now - memory.life_s
    for epoch, coverage in list(memory.coverage.items()):
        coverage.horizon_s = max(coverage.horizon_s, past - coverage.offset_s)
        for key in [key for key, at_s in coverage.split_keys.items() if at_s <= coverage.horizon_s]:
            del coverage.split_keys[key]
        if coverage.closed_s <= coverage.horizon_s:
            del memory.coverage[epoch]
    forgotten = []
    for token, record in memory.used.items():
        if record.used_at > past:
            break
        forgotten.append(token)
    for token in forgotten:
        del memory.used[token]
    memory.quota.count -= len(forgotten)
    return len(forgotten)


def drop(memory: Memory) -> None:
    """Give back the quota of a memory whose shard this node lost or handed over.

    :param memory: the shard's memory; it must not be used afterwards.
    """
    memory.is_closed = True
    memory.quota.count -= len(memory.used) + len(memory.running)
    memory.used.clear()
    memory.running.clear()


def export_memory(memory: Memory, now: float) -> message.TokenMemory:
    """Close the memory and return it for a handover. A repeated call returns the same tokens.

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
    """Add a memory that came with a grant; return whether there was room for it.

    Without room, its tokens stay uncovered and are refused as lost. Epochs and tokens that are
    already known are left as they are, so that a grant may be delivered twice. When the memory is
    of a key that is merged back into its partition, its epochs hold for that key only.

    :param memory: the memory of the granted shard.
    :param moved: from the former owner's :func:`export_memory`.
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
            split_keys={KeyDigest(_decode(gone)): at_s for gone, at_s in coverage.split_keys},
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

    The partition no longer covers the tokens that it issued for the key: they may be used at the
    key's next owner, and that owner may be lost before the key is merged back.

    :param memory: the partition's memory.
    :param key: the key.
    :param shard: the key's own shard.
    :param fence: the fencing token of the key's own shard.
    :param now: seconds on the node's clock.
    """
    tag = digest_key(key)
    own = create(shard=shard, fence=fence, life_s=memory.life_s, quota=memory.quota)
    for epoch in [epoch for epoch in memory.coverage if epoch.key == tag]:
        own.coverage[epoch] = memory.coverage.pop(epoch)
    for epoch, coverage in memory.coverage.items():
        if epoch.key != ALL_KEYS:
            continue
        split_s = now - coverage.offset_s + CLOCK_TOLERANCE_S
        earlier = own.coverage.get(dataclasses.replace(epoch, key=tag))
        horizon_s = max(coverage.horizon_s, coverage.split_keys.get(tag, float("-inf")))
        own.coverage[dataclasses.replace(epoch, key=tag)] = EpochCoverage(
            offset_s=coverage.offset_s,
            # A key that was merged back with its memory is covered without a gap.
            horizon_s=horizon_s if earlier is None else earlier.horizon_s,
            closed_s=min(coverage.closed_s, split_s),
        )
        coverage.split_keys[tag] = split_s
    memory.split_memories[tag] = own
    for token in [token for token in memory.used if token.startswith(tag)]:
        own.used[token] = memory.used.pop(token)
    for token in [token for token in memory.running if token.startswith(tag)]:
        memory.running.remove(token)
        own.running.add(token)
    return own


def _encode(digest: bytes) -> str:
    return base64.urlsafe_b64encode(digest).decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text)

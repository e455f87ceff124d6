"""A node's lease, the shards it holds, and the consents that allow its renewal.

Pure functions of state, event and time. A node serves shards only while its lease is valid, and
the coordinator renews leases only while its standbys have consented not to claim the cell.

Used by ``process.daemon``; ``platform.daemon`` uses ``process.keyspace``, which has its own leases.
"""

import collections.abc
import dataclasses
import enum
import math

import xxhash

from ebonyvalve.process import identity, message

# Every heartbeat extends the lease to LEASE_S after it was sent, so one lost heartbeat does not end
# it.
HEARTBEAT_S = 0.150
LEASE_S = 0.450
# A consent is valid for CONSENT_S after it was requested, and is requested every CONSENT_PERIOD_S,
# so one lost request does not end it.
CONSENT_S = 0.300
CONSENT_PERIOD_S = 0.100
# The clocks of two VMs may drift apart by this fraction. The side that waits for an expiry adds it.
MAX_CLOCK_DRIFT = 0.001

NOBODY = identity.NodeId("")


class HoldingState(enum.Enum):
    """Whether a node may serve a shard that it holds."""

    SERVING = "serving"
    # The lease has lapsed. The coordinator may have granted the shard to another node since then,
    # so it has to confirm the holding before the node serves it again.
    SUSPENDED = "suspended"
    # The coordinator has revoked the shard; requests in flight are finishing.
    RELEASING = "releasing"


class RenewalState(enum.Enum):
    """Result of applying a renewal at the node."""

    APPLIED = "applied"
    # The renewal is of another term, or of an older configuration than the node's.
    STALE = "stale"
    # The node lacks the configuration that the renewal names.
    NEEDS_CONFIG = "needs-config"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldShard:
    """A shard that the node holds."""

    fence: identity.Fence
    excluded: frozenset[identity.KeyId] = frozenset()
    state: HoldingState = HoldingState.SERVING
    # Whether the lease lapsed before or during a release. If the release is cancelled, the shard
    # is suspended again instead of served.
    was_suspended: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """A node's view of its lease, its shards and the cell. It is replaced, not changed in place."""

    node: identity.NodeId
    incarnation: identity.Incarnation
    term: identity.Term = identity.Term(0)
    coordinator: identity.NodeId = NOBODY
    coordinator_address: identity.Address = identity.Address("")
    lease_end_s: float = -math.inf
    holdings: dict[identity.ShardId, HeldShard] = dataclasses.field(default_factory=dict)
    # Digest of the holdings, which is compared with the coordinator's.
    digest: int = 0
    routes: dict[identity.ShardId, message.Route] = dataclasses.field(default_factory=dict)
    routes_version: int = 0
    members: dict[identity.NodeId, message.Member] = dataclasses.field(default_factory=dict)
    members_version: int = 0
    config_version: identity.ConfigVersion = identity.ConfigVersion(0)
    # The coordinator numbers its Follow, Revoke and Grant messages within a term. Revoke and Grant
    # are refused if a later one for the same shard, or a later Follow, arrived before.
    follow_sequence: int = 0
    shard_sequences: dict[identity.ShardId, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingHeartbeat:
    """A heartbeat that awaits its renewal."""

    term: identity.Term
    coordinator: identity.NodeId
    sent_at_s: float


def is_live(state: Node, now: float) -> bool:
    """Return whether the node's lease is valid.

    :param state: the node.
    :param now: the time in seconds.
    """
    return now < state.lease_end_s


def find_fence(
    state: Node, shard: identity.ShardId, key: identity.KeyId, now: float
) -> identity.Fence | None:
    """Return the fencing token under which the node may serve a key now, or ``None``.

    :param state: the node.
    :param shard: the shard that serves the key.
    :param key: the key.
    :param now: the time in seconds.
    """
    held = state.holdings.get(shard)
    if held is None or held.state is not HoldingState.SERVING or key in held.excluded:
        return None
    return held.fence if is_live(state, now) else None


def find_owner(state: Node, shard: identity.ShardId) -> identity.NodeId | None:
    """Return the owner of a shard as far as the node knows, or ``None``.

    :param state: the node.
    :param shard: the shard.
    """
    route = state.routes.get(shard)
    return route.owner if route is not None and route.owner != NOBODY else None


def list_holdings(state: Node) -> list[message.Holding]:
    """Return the shards that the node holds in any state.

    :param state: the node.
    """
    return [
        message.Holding(shard=shard, fence=held.fence, excluded=sorted(held.excluded))
        for shard, held in state.holdings.items()
    ]


def digest_holdings(holdings: collections.abc.Iterable[message.Holding]) -> int:
    """Return a digest of shards, fencing tokens and excluded keys that ignores their order.

    :param holdings: the holdings.
    """
    total = 0
    for holding in holdings:
        text = f"{holding.shard}\n{holding.fence}\n" + "\n".join(sorted(holding.excluded))
        total ^= xxhash.xxh3_64_intdigest(text.encode())
    return total


def lapse(state: Node, now: float) -> Node:
    """Suspend the node's holdings if its lease has expired.

    This is done before every event, so that a node that was paused beyond its lease cannot serve an
    old holding under a renewal that arrives after the pause.

    :param state: the node.
    :param now: the time in seconds.
    """
    if is_live(state, now) or all(is_suspended(held) for held in state.holdings.values()):
        return state
    return dataclasses.replace(
        state, holdings={shard: _suspend(held) for shard, held in state.holdings.items()}
    )


def is_suspended(held: HeldShard) -> bool:
    """Return whether the coordinator has to confirm a holding before the node serves it again.

    :param held: the holding.
    """
    return held.state is HoldingState.SUSPENDED or held.was_suspended


def begin_heartbeat(state: Node, now: float) -> tuple[Node, PendingHeartbeat]:
    """Return the state and the heartbeat to send.

    :param state: the node.
    :param now: the time in seconds; a renewal extends the lease from this time.
    """
    pending = PendingHeartbeat(term=state.term, coordinator=state.coordinator, sent_at_s=now)
    return lapse(state, now), pending


def apply_renewal(
    state: Node, pending: PendingHeartbeat, renewal: message.Renewal, now: float
) -> tuple[Node, RenewalState]:
    """Extend the lease from the time at which the heartbeat was sent.

    :param state: the node.
    :param pending: the heartbeat that the renewal answers.
    :param renewal: the coordinator's reply.
    :param now: the time in seconds.
    """
    state = lapse(state, now)
    expected = (state.term, state.term, state.coordinator, state.coordinator)
    if (pending.term, renewal.term, pending.coordinator, renewal.coordinator) != expected:
        return state, RenewalState.STALE
    if renewal.config_version < state.config_version:
        return state, RenewalState.STALE
    if renewal.config_version > state.config_version:
        return state, RenewalState.NEEDS_CONFIG
    state = dataclasses.replace(
        state, lease_end_s=max(state.lease_end_s, pending.sent_at_s + renewal.lease_s)
    )
    if is_live(state, now) and renewal.holdings_digest == state.digest:
        state = _confirm(state)
    return _apply_views(state, renewal), RenewalState.APPLIED


def adopt_config(state: Node, version: identity.ConfigVersion) -> Node:
    """Record the node's configuration version; a lower version is ignored.

    :param state: the node.
    :param version: the version now in force at the node.
    """
    return dataclasses.replace(state, config_version=max(state.config_version, version))


def accepts(state: Node, request: message.Revoke | message.Grant, shard: identity.ShardId) -> bool:
    """Return whether the node accepts a revoke or grant for a shard.

    It refuses messages of another term, messages for its previous process, and messages that
    arrive after a later one for the same shard or after a later Follow.

    :param state: the node.
    :param request: the message.
    :param shard: the shard.
    """
    if request.term != state.term or request.incarnation != state.incarnation:
        return False
    return request.sequence >= max(state.follow_sequence, state.shard_sequences.get(shard, 0))


def follow(
    state: Node,
    *,
    term: identity.Term,
    coordinator: identity.NodeId,
    address: identity.Address,
    sequence: int,
    now: float,
) -> Node:
    """Follow a coordinator, unless the node has followed a higher term.

    In a new term, releases that the former coordinator requested are cancelled: the new coordinator
    counts the shards as held and revokes them again if needed. The lease stays valid.

    :param state: the node.
    :param term: the coordinator's term.
    :param coordinator: the coordinator.
    :param address: its address for control messages.
    :param sequence: sequence number of the Follow; 0 if the node follows without one.
    :param now: the time in seconds.
    """
    if term < state.term:
        return state
    if term == state.term:
        return dataclasses.replace(state, follow_sequence=max(state.follow_sequence, sequence))
    state = dataclasses.replace(
        state,
        holdings={shard: _restore(held) for shard, held in state.holdings.items()},
        term=term,
        coordinator=coordinator,
        coordinator_address=address,
        follow_sequence=sequence,
        shard_sequences={},
    )
    return lapse(state, now)


def begin_release(
    state: Node, request: message.Revoke, now: float
) -> tuple[Node, list[identity.ShardId]]:
    """Stop serving revoked shards, and return those that the node holds and accepts to release.

    :param state: the node.
    :param request: the revoke.
    :param now: the time in seconds.
    """
    state = lapse(state, now)
    accepted = [shard for shard in request.shards if accepts(state, request, shard)]
    held = [shard for shard in accepted if shard in state.holdings]
    holdings = dict(state.holdings)
    for shard in held:
        holdings[shard] = dataclasses.replace(
            holdings[shard],
            state=HoldingState.RELEASING,
            was_suspended=is_suspended(holdings[shard]),
        )
    sequences = {**state.shard_sequences, **dict.fromkeys(accepted, request.sequence)}
    return _put_holdings(dataclasses.replace(state, shard_sequences=sequences), holdings), held


def end_release(state: Node, shards: list[identity.ShardId]) -> Node:
    """Drop shards whose requests in flight have ended, if they are still being released.

    :param state: the node.
    :param shards: the shards.
    """
    ended = {
        shard
        for shard in shards
        if shard in state.holdings and state.holdings[shard].state is HoldingState.RELEASING
    }
    holdings = {shard: held for shard, held in state.holdings.items() if shard not in ended}
    return _put_holdings(state, holdings) if ended else state


def grant(state: Node, request: message.Grant, now: float) -> tuple[Node, bool]:
    """Add granted shards, and return whether the grant was accepted, as a whole or not at all.

    A partition that is granted with fewer excluded keys replaces the shards of the other keys. If
    the lease has expired, the shards are suspended until the coordinator confirms them.

    :param state: the node.
    :param request: the grant.
    :param now: the time in seconds.
    """
    state = lapse(state, now)
    holdings = request.holdings
    if not all(_may_accept(state, request, holding) for holding in holdings):
        return state, False
    holding_state = HoldingState.SERVING if is_live(state, now) else HoldingState.SUSPENDED
    changed = dict(state.holdings)
    for holding in holdings:
        for key in list_merged_keys(state, holding):
            changed.pop(identity.name_key(identity.split_shard(holding.shard)[0], key), None)
        changed[holding.shard] = HeldShard(
            fence=holding.fence, excluded=frozenset(holding.excluded), state=holding_state
        )
    sequences = {
        **state.shard_sequences,
        **{holding.shard: request.sequence for holding in holdings},
    }
    return _put_holdings(dataclasses.replace(state, shard_sequences=sequences), changed), True


def list_merged_keys(state: Node, holding: message.Holding) -> list[identity.KeyId]:
    """Return the keys that a grant of a partition merges back into it.

    :param state: the node before the grant.
    :param holding: the partition as granted.
    """
    held = state.holdings.get(holding.shard)
    return sorted(held.excluded - frozenset(holding.excluded)) if held is not None else []


def reroute(state: Node, routes: list[message.Route]) -> Node:
    """Apply routes; a route with a lower fencing token than the known one is stale and ignored.

    Fencing token 0 removes the route of a key that was merged back into its partition.

    :param state: the node.
    :param routes: the changed routes.
    """
    if not routes:
        return state
    known = dict(state.routes)
    for route in routes:
        if route.fence == 0:
            known.pop(route.shard, None)
        elif route.shard not in known or known[route.shard].fence <= route.fence:
            known[route.shard] = route
    return dataclasses.replace(state, routes=known)


def compute_lease_end(now: float) -> float:
    """Return the time on the coordinator's clock at which a lease renewed now has surely expired.

    :param now: the time in seconds at which the coordinator answers the heartbeat.
    """
    return now + LEASE_S * (1.0 + MAX_CLOCK_DRIFT)


def compute_consent_end(sent_at_s: float) -> float:
    """Return until when the coordinator may rely on a consent, in seconds.

    :param sent_at_s: when it sent the request, in seconds.
    """
    return sent_at_s + CONSENT_S


def compute_promise_end(received_at_s: float) -> float:
    """Return until when a standby that has consented must not claim the cell, in seconds.

    :param received_at_s: when it received the request, in seconds.
    """
    return received_at_s + CONSENT_S * (1.0 + MAX_CLOCK_DRIFT)


def may_renew(
    consents: dict[identity.NodeId, float],
    standbys: collections.abc.Iterable[identity.NodeId],
    now: float,
) -> bool:
    """Return whether every standby has consented, so that the coordinator may renew leases.

    :param consents: by standby, until when its consent is valid, in seconds.
    :param standbys: the standbys that may claim the cell.
    :param now: the time in seconds.
    """
    return all(now < consents.get(node, -math.inf) for node in standbys)


def _may_accept(state: Node, request: message.Grant, holding: message.Holding) -> bool:
    held = state.holdings.get(holding.shard)
    is_older = held is not None and held.fence > holding.fence
    return accepts(state, request, holding.shard) and not is_older


def _suspend(held: HeldShard) -> HeldShard:
    if held.state is HoldingState.RELEASING:
        return dataclasses.replace(held, was_suspended=True)
    return dataclasses.replace(held, state=HoldingState.SUSPENDED)


def _restore(held: HeldShard) -> HeldShard:
    if held.state is not HoldingState.RELEASING:
        return held
    restored = HoldingState.SUSPENDED if held.was_suspended else HoldingState.SERVING
    return dataclasses.replace(held, state=restored, was_suspended=False)


def _confirm(state: Node) -> Node:
    if all(held.state is not HoldingState.SUSPENDED for held in state.holdings.values()):
        return state
    confirmed = {
        shard: (
            dataclasses.replace(held, state=HoldingState.SERVING)
            if held.state is HoldingState.SUSPENDED
            else held
        )
        for shard, held in state.holdings.items()
    }
    return dataclasses.replace(state, holdings=confirmed)


def _put_holdings(state: Node, holdings: dict[identity.ShardId, HeldShard]) -> Node:
    state = dataclasses.replace(state, holdings=holdings)
    return dataclasses.replace(state, digest=digest_holdings(list_holdings(state)))


def _apply_views(state: Node, renewal: message.Renewal) -> Node:
    state = reroute(state, renewal.routes)
    if renewal.members_version != state.members_version:
        state = dataclasses.replace(
            state,
            members={member.node: member for member in renewal.members},
            members_version=renewal.members_version,
        )
    return dataclasses.replace(state, routes_version=renewal.routes_version)

"""Tests of a node's lease and holdings."""

from ebonyvalve.process import identity, lease, message

SHARD = identity.ShardId("stock/3")
KEY = identity.KeyId("k1")
A = identity.NodeId("a")
C = identity.NodeId("c")
FIRST = identity.Term(1)
SECOND = identity.Term(2)


def make_node() -> lease.Node:
    state = lease.Node(node=A, incarnation=identity.Incarnation("a1"))
    return lease.follow(
        state, term=FIRST, coordinator=C, address=identity.Address("c:1"), sequence=0, now=0.0
    )


def make_renewal(
    state: lease.Node, *, term: identity.Term = FIRST, config: int = 0, digest: int | None = None
) -> message.Renewal:
    return message.Renewal(
        term=term,
        lease_s=lease.LEASE_S,
        coordinator=C,
        config_version=identity.ConfigVersion(config),
        routes_version=1,
        routes=[],
        members_version=0,
        members=[],
        quarantine=[],
        holdings_digest=state.digest if digest is None else digest,
    )


def renew(state: lease.Node, sent_at_s: float, now: float) -> lease.Node:
    state, pending = lease.begin_heartbeat(state, sent_at_s)
    state, outcome = lease.apply_renewal(state, pending, make_renewal(state), now)
    assert outcome is lease.RenewalState.APPLIED
    return state


def grant(state: lease.Node, fence: int, sequence: int, now: float) -> tuple[lease.Node, bool]:
    holding = message.Holding(shard=SHARD, fence=identity.Fence(fence))
    return lease.grant(state, make_grant(state, [holding], sequence), now)


def make_grant(state: lease.Node, holdings: list[message.Holding], sequence: int) -> message.Grant:
    return message.Grant(
        term=state.term,
        holdings=holdings,
        memories=[],
        incarnation=state.incarnation,
        sequence=sequence,
    )


def make_revoke(state: lease.Node, sequence: int) -> message.Revoke:
    return message.Revoke(
        term=state.term, shards=[SHARD], incarnation=state.incarnation, sequence=sequence
    )


def test_lease_counts_from_sending() -> None:
    """Guards against a lease that ends after the coordinator expects it to, if a reply is slow."""
    state = renew(make_node(), 1.0, 1.4)
    assert lease.is_live(state, 1.0 + lease.LEASE_S - 0.001)
    assert not lease.is_live(state, 1.0 + lease.LEASE_S)
    assert lease.compute_lease_end(1.0) > 1.0 + lease.LEASE_S


def test_suspended_holding_needs_confirmation() -> None:
    """Guards against an owner that serves an old holding when it is renewed after a pause."""
    state, _ = grant(renew(make_node(), 0.0, 0.0), 1, 1, 0.0)
    assert lease.find_fence(state, SHARD, KEY, 0.1) == 1
    state, pending = lease.begin_heartbeat(state, 5.0)
    other = make_renewal(state, digest=state.digest + 1)
    state, _ = lease.apply_renewal(state, pending, other, 5.0)
    assert lease.is_live(state, 5.0)
    assert lease.find_fence(state, SHARD, KEY, 5.0) is None
    state = renew(state, 5.1, 5.1)
    assert lease.find_fence(state, SHARD, KEY, 5.1) == 1


def test_renewal_of_other_term_or_older_configuration_is_ignored() -> None:
    """Guards against a former coordinator that extends a lease, and a reverted configuration."""
    state, pending = lease.begin_heartbeat(make_node(), 0.0)
    followed = lease.follow(
        state, term=SECOND, coordinator=A, address=identity.Address("a:1"), sequence=1, now=0.0
    )
    _, outcome = lease.apply_renewal(followed, pending, make_renewal(state), 0.1)
    assert outcome is lease.RenewalState.STALE
    newer = lease.adopt_config(state, identity.ConfigVersion(5))
    kept, outcome = lease.apply_renewal(newer, pending, make_renewal(state, config=4), 0.1)
    assert outcome is lease.RenewalState.STALE
    assert not lease.is_live(kept, 0.1)
    _, outcome = lease.apply_renewal(newer, pending, make_renewal(state, config=6), 0.1)
    assert outcome is lease.RenewalState.NEEDS_CONFIG


def test_overtaken_grant_is_refused() -> None:
    """Guards against accepting a delayed grant after the shard was released and moved."""
    state, _ = grant(renew(make_node(), 0.0, 0.0), 1, 1, 0.0)
    state, held = lease.begin_release(state, make_revoke(state, 3), 0.1)
    assert held == [SHARD]
    assert lease.find_fence(state, SHARD, KEY, 0.1) is None
    state = lease.end_release(state, held)
    state, is_taken = grant(state, 1, 2, 0.1)
    assert not is_taken
    assert not state.holdings


def test_cancelled_release_leaves_lapsed_holding_suspended() -> None:
    """Guards against serving a lapsed holding again when a new coordinator cancels its release.

    Found by seed 582 of the random faults: a node that had been paused was releasing shards that
    others owned already, was renewed in the meantime, and then followed a new coordinator.
    """
    state, _ = grant(renew(make_node(), 0.0, 0.0), 1, 1, 0.0)
    state = lease.lapse(state, 5.0)
    other = make_renewal(state, digest=state.digest + 1)
    state, pending = lease.begin_heartbeat(state, 5.0)
    state, _ = lease.apply_renewal(state, pending, other, 5.0)
    state, _ = lease.begin_release(state, make_revoke(state, 2), 5.0)
    state = lease.follow(
        state, term=SECOND, coordinator=A, address=identity.Address("a:1"), sequence=1, now=5.1
    )
    assert lease.is_live(state, 5.1)
    assert lease.find_fence(state, SHARD, KEY, 5.1) is None


def test_shard_is_served_after_a_new_coordinator_cancels_its_release() -> None:
    """Guards against a shard that no node serves because a former coordinator revoked it."""
    state, _ = grant(renew(make_node(), 0.0, 0.0), 1, 1, 0.0)
    state, _ = lease.begin_release(state, make_revoke(state, 2), 0.1)
    state = lease.follow(
        state, term=SECOND, coordinator=A, address=identity.Address("a:1"), sequence=1, now=0.1
    )
    assert lease.find_fence(state, SHARD, KEY, 0.1) == 1


def test_message_for_previous_process_is_refused() -> None:
    """Guards against a restarted node that accepts messages for its previous process.

    The token memory is lost, so one-time tokens could be used twice after such a grant. An answer
    to such a revoke would deny that the shards were held.
    """
    before = make_node()
    state = lease.Node(node=A, incarnation=identity.Incarnation("a2"), term=FIRST)
    holding = message.Holding(shard=SHARD, fence=identity.Fence(1))
    assert not lease.grant(state, make_grant(before, [holding], 1), 0.0)[1]
    assert not lease.accepts(state, make_revoke(before, 1), SHARD)


def test_excluded_key_is_not_served_under_its_partition() -> None:
    """Guards against a hot key that is served both as its own shard and in its partition."""
    state = renew(make_node(), 0.0, 0.0)
    key_shard = identity.name_key(identity.ServiceId("stock"), KEY)
    holdings = [
        message.Holding(shard=SHARD, fence=identity.Fence(1), excluded=[KEY]),
        message.Holding(shard=key_shard, fence=identity.Fence(2)),
    ]
    state, _ = lease.grant(state, make_grant(state, holdings, 1), 0.0)
    assert lease.find_fence(state, SHARD, KEY, 0.0) is None
    assert lease.find_fence(state, key_shard, KEY, 0.0) == 2
    state, _ = grant(state, 3, 2, 0.0)
    assert lease.find_fence(state, SHARD, KEY, 0.0) == 3
    assert key_shard not in state.holdings


def test_renewal_needs_every_consent() -> None:
    """Guards against renewals when one of several standbys has not consented or its time is up."""
    consents = {A: lease.compute_consent_end(1.0), C: lease.compute_consent_end(1.1)}
    assert lease.may_renew(consents, [A, C], 1.29)
    assert not lease.may_renew(consents, [A, C], 1.3)
    assert not lease.may_renew({A: 9.0}, [A, C], 1.0)
    assert lease.compute_consent_end(1.0) < lease.compute_promise_end(1.0)

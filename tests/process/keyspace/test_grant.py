"""Explores every order of reports, answers and losses, in search of two owners of one key."""

import collections
import dataclasses

import pytest

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import grant, lease, ledger

X = identity.Lifetime("x@1")
Y = identity.Lifetime("y@1")
HOLD_S = 4.0
STEP_S = 1.0
DEPTH = 9


def build_ledger(*, is_moving: bool) -> ledger.Ledger:
    span = ledger.Span(
        first=0,
        last=identity.LAST_KEY_SLOT,
        fence=1,
        node="nx",
        holder=X,
        successor=Y if is_moving else "",
        successor_node="ny" if is_moving else "",
    )
    return ledger.Ledger(spans=(span,))


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """A target and its hold, the state of its node, and one message in transit each way.

    ``late`` has the reports that are held up on their way, and may arrive at any time.
    """

    now: float
    is_moving: bool
    target_until: float
    target_sequence: int
    is_releasing: bool
    node: tuple[object, ...]
    report: tuple[int, bool, float] | None
    answer: tuple[bool, float, float] | None
    late: tuple[tuple[int, bool], ...] = ()


def pack(state: grant.Grantor) -> tuple[object, ...]:
    return (
        state.sequence,
        state.ends_at,
        state.inherited_until,
        state.holds,
        tuple(sorted(state.withheld.items())),
        state.granted,
    )


def unpack(packed: tuple[object, ...]) -> grant.Grantor:
    sequence, ends_at, inherited_until, holds, withheld, granted = packed
    return grant.Grantor(
        lifetime=X,
        sequence=sequence,  # type: ignore[arg-type]
        ends_at=ends_at,  # type: ignore[arg-type]
        inherited_until=inherited_until,  # type: ignore[arg-type]
        holds=holds,  # type: ignore[arg-type]
        withheld=dict(withheld),  # type: ignore[call-overload]
        granted=granted,  # type: ignore[arg-type]
    )


def list_next(world: World) -> list[World]:
    """Return the worlds that may follow.

    Time passes, a move is planned, a report is sent, lost or answered, the answer arrives or is
    lost, or the node restarts.
    """
    change = dataclasses.replace
    state = unpack(world.node)
    worlds = [change(world, now=world.now + STEP_S)]
    if not world.is_moving:
        worlds.append(change(world, is_moving=True))
    holds = world.now < world.target_until
    if world.report is None and world.answer is None:
        # The target sends one report at a time, and abandons it after a second without an answer.
        sequence = world.target_sequence + 1
        worlds.append(change(world, report=(sequence, holds, world.now), target_sequence=sequence))
    if world.report is not None:
        sequence, reported, sent_at = world.report
        worlds.append(change(world, report=None))
        given = receive(state, sequence, reported, is_moving=world.is_moving, now=world.now)
        is_granted = bool(given.spans)
        worlds.append(
            change(world, node=pack(state), report=None, answer=(is_granted, sent_at, given.hold_s))
        )
    if world.answer is not None:
        is_granted, sent_at, hold_s = world.answer
        worlds.append(change(world, answer=None))
        if world.now - sent_at <= STEP_S:
            # The hold starts when the report was sent, on a clock that is 2% slow.
            until = sent_at + hold_s * 1.02 if is_granted else 0.0
            worlds.append(change(world, answer=None, target_until=until))
    fresh = grant.start(now=world.now, max_hold_s=HOLD_S)
    fresh.lifetime = X
    worlds.append(change(world, node=pack(fresh), report=None, answer=None))
    for position, (sequence, reported) in enumerate(world.late):
        remaining = world.late[:position] + world.late[position + 1 :]
        state = unpack(world.node)
        if sequence > state.sequence:
            # The target no longer waits for the answer.
            receive(state, sequence, reported, is_moving=world.is_moving, now=world.now)
        worlds.append(change(world, node=pack(state), late=remaining))
    return worlds


def receive(
    state: grant.Grantor, sequence: int, reported: bool, *, is_moving: bool, now: float
) -> grant.Grant:
    """Apply a report of the target and answer it."""
    holds = ((0, identity.LAST_KEY_SLOT, 1),) if reported else ()
    grant.record_report(
        state, grant.Report(lifetime=X, sequence=sequence, holds=holds, released=())
    )
    return grant.answer(state, build_ledger(is_moving=is_moving), now=now, hold_s=HOLD_S)


@pytest.mark.parametrize(
    "late",
    [(), ((1, False),), ((1, False), (2, False)), ((1, False), (2, False), (3, False))],
    ids=len,
)
def test_no_order_of_events_frees_keys_that_are_held(late: tuple[tuple[int, bool], ...]) -> None:
    """Lost or late messages, node restarts or slow clocks could give a key two owners.

    The late reports were sent before the target received its keys.
    """
    state = grant.start(now=0.0, max_hold_s=HOLD_S)
    state.lifetime = X
    first = World(
        now=0.0,
        is_moving=False,
        target_until=HOLD_S,
        target_sequence=len(late),
        is_releasing=False,
        node=pack(state),
        report=None,
        answer=None,
        late=late,
    )
    queue = collections.deque([(first, 0)])
    seen = {first}
    freed = 0
    while queue:
        world, depth = queue.popleft()
        if world.is_moving:
            free = grant.find_released(unpack(world.node), build_ledger(is_moving=True), world.now)
            if free:
                freed += 1
                is_grant_on_its_way = (
                    world.answer is not None
                    and world.answer[0]
                    and world.now - world.answer[1] <= STEP_S
                )
                assert world.now >= world.target_until, world
                assert not is_grant_on_its_way, world
        if depth == DEPTH - len(late):
            continue
        for following in list_next(world):
            if following not in seen:
                seen.add(following)
                queue.append((following, depth + 1))
    assert freed, "the exploration must reach worlds in which keys are freed"
    assert len(seen) > 1000


def test_moving_range_is_served_until_its_release_can_be_recognized() -> None:
    """Guards against refusing the keys of a sound target while a restarted node waits."""
    state = grant.start(now=0.0, max_hold_s=HOLD_S)
    grants = []
    for sequence in range(8):
        given = receive(state, sequence, True, is_moving=True, now=float(sequence))
        grants.append(bool(given.spans))
    assert grants == [float(now) <= state.inherited_until for now in range(8)]
    assert not grants[-1]
    # The target has seen an answer without the range.
    receive(state, 8, False, is_moving=True, now=7.5)
    assert grant.find_released(state, build_ledger(is_moving=True), 7.5) == {0: ""}


def test_handover_of_a_wider_release_is_used() -> None:
    """A target may report a release as one range although the ledger has split it."""
    state = grant.Grantor(lifetime=X, sequence=5)
    state.released.append((0, 999, "token"))
    state.withheld[(0, identity.LAST_KEY_SLOT)] = 4
    moving_ledger = build_ledger(is_moving=True)
    assert grant.find_released(state, moving_ledger, 0.0) == {0: ""}
    state.released.append((0, identity.LAST_KEY_SLOT, "whole"))
    assert grant.find_released(state, moving_ledger, 0.0) == {0: "whole"}


def test_nothing_is_granted_without_a_lease() -> None:
    """A node without a valid lease must not renew the holds of its target."""
    state = grant.Grantor(lifetime=X)
    given = grant.answer(state, build_ledger(is_moving=False), now=0.0, hold_s=0.0)
    assert given.spans is None
    assert not grant.is_granted(state, 5, 0.0)


def test_end_of_a_hold_counts_the_slow_clock() -> None:
    """A target whose clock runs 2% slow holds its keys 2% longer than its node granted them."""
    assert lease.find_hold_end(0.0, 10.0) >= 10.2

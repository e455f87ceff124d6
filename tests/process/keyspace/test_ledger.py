"""The ledger covers every key exactly once after any sequence of changes."""

import zlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger

NAMES = [f"t{number}@1" for number in range(4)]


def build_candidate(number: int, weight: float = 1.0) -> ledger.Candidate:
    return ledger.Candidate(
        node=identity.NodeId(f"n{number}"),
        lifetime=identity.Lifetime(NAMES[number]),
        weight=weight,
    )


def assert_covers(current: ledger.Ledger) -> None:
    following = 0
    for span in current.spans:
        assert span.first == following, current
        assert span.last >= span.first
        following = span.last + 1
    assert following == identity.LAST_KEY_SLOT + 1


def count_keys(current: ledger.Ledger, name: str) -> int:
    return sum(span.last - span.first + 1 for span in current.spans if span.holder == name)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("vacate"), st.integers(0, 3), st.just(0), st.just(0)),
        st.tuples(
            st.just("move"),
            st.integers(0, 3),
            st.integers(0, identity.LAST_KEY_SLOT),
            st.integers(0, identity.LAST_KEY_SLOT),
        ),
        st.tuples(st.just("pass"), st.integers(0, 30), st.just(0), st.just(0)),
        st.tuples(st.just("exit"), st.integers(0, 3), st.just(0), st.just(0)),
        st.tuples(st.just("cancel"), st.integers(0, 3), st.just(0), st.just(0)),
    ),
    max_size=12,
)


def take_step(current: ledger.Ledger, step: tuple[str, int, int, int]) -> ledger.Ledger:
    kind, number, first, last = step
    everyone = [build_candidate(other) for other in range(4)]
    if kind == "vacate":
        others = [candidate for candidate in everyone if candidate.lifetime != NAMES[number]]
        vacant = ledger.vacate(current, lambda span: span.holder == NAMES[number])
        return ledger.assign_vacant(vacant, others)
    if kind == "move":
        return ledger.plan_move(current, min(first, last), max(first, last), everyone[number])
    if kind == "pass":
        moving = [span.first for span in current.spans if span.successor]
        return ledger.complete_moves(current, dict.fromkeys(moving[: number + 1], "handover"))
    if kind == "exit":
        return ledger.plan_exit(current, identity.Lifetime(NAMES[number]), everyone)
    return ledger.cancel_moves(current, lambda span: span.successor == NAMES[number])


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(steps=STEPS)
def test_every_key_has_one_span_and_fences_only_rise(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """A key in two spans would have two owners; targets would refuse a lower fence for good."""
    current = ledger.create([build_candidate(number) for number in range(3)])
    probes = range(0, identity.LAST_KEY_SLOT + 1, 4111)
    for step in steps:
        before = current
        current = take_step(current, step)
        assert_covers(current)
        assert ledger.decode(ledger.encode(current)).unwrap() == current
        for key_slot in probes:
            previous, new = ledger.find_span(before, key_slot), ledger.find_span(current, key_slot)
            assert new.fence >= previous.fence
            if new.holder != previous.holder and new.holder:
                assert new.fence > previous.fence, "a new holder needs a higher fence"


def test_first_ledger_divides_by_weight() -> None:
    """A target with twice the slots must get twice the keys."""
    current = ledger.create([build_candidate(0, 2.0), build_candidate(1), build_candidate(2)])
    size = identity.LAST_KEY_SLOT + 1
    assert count_keys(current, NAMES[0]) == pytest.approx(size / 2, abs=2)
    assert count_keys(current, NAMES[1]) == pytest.approx(size / 4, abs=2)


def test_lost_targets_keys_go_to_several_others() -> None:
    """A single successor for all keys of a lost target would be overloaded at once."""
    current = ledger.create([build_candidate(number) for number in range(4)])
    others = [build_candidate(number) for number in range(3)]
    vacant = ledger.vacate(current, lambda span: span.holder == NAMES[3])
    taken = ledger.assign_vacant(vacant, others)
    assert_covers(taken)
    for number in range(3):
        assert count_keys(taken, NAMES[number]) == pytest.approx(65_536 / 3, abs=2)


def test_targets_without_weight_get_nothing() -> None:
    """Draining, evacuated and lost targets have weight 0 and must not get keys."""
    current = ledger.create([build_candidate(0), build_candidate(1, 0.0)])
    assert count_keys(current, NAMES[1]) == 0


def test_moving_span_stays_with_its_holder_until_released() -> None:
    """The successor must not be granted keys that the holder has not released yet."""
    current = ledger.create([build_candidate(0), build_candidate(1)])
    moving = ledger.plan_move(current, 0, 99, build_candidate(1))
    assert ledger.find_span(moving, 5).holder == NAMES[0]
    assert ledger.find_span(moving, 5).successor == NAMES[1]
    assert not ledger.find_span(moving, 100).successor
    passed = ledger.complete_moves(moving, {0: "abc"})
    span = ledger.find_span(passed, 5)
    assert (span.holder, span.successor, span.handover, span.fence) == (NAMES[1], "", "abc", 2)


def test_unreadable_row_is_an_error() -> None:
    """An invalid row must not be taken for an empty ledger; the last valid one stays in force."""
    assert "at `$.spans[0]`" in ledger.decode(b'{"spans":[[0,1]]}').failure()


def test_nodes_that_a_change_affects() -> None:
    """A node that is left out waits for keys; pushing to all costs the square of the nodes."""
    candidates = [
        ledger.Candidate(
            node=identity.NodeId(f"n{i}"), lifetime=identity.Lifetime(f"t{i}"), weight=1
        )
        for i in range(5)
    ]
    current = ledger.create(candidates)
    held_span = ledger.list_held(current, identity.Lifetime("t0"))[0]
    moving = ledger.plan_move(current, held_span.first, held_span.first + 9, candidates[3])
    assert ledger.find_affected_nodes(current, moving) == {"n0", "n3"}
    moved = ledger.complete_moves(moving, {held_span.first: ""})
    assert ledger.find_affected_nodes(moving, moved) == {"n0", "n3"}
    assert ledger.find_affected_nodes(moving, ledger.cancel_moves(moving, lambda _: True)) == {
        "n0",
        "n3",
    }
    vacant = ledger.vacate(moved, lambda span: span.holder == "t1")
    assert ledger.find_affected_nodes(moved, vacant) == {"n1"}
    assert ledger.find_affected_nodes(current, current) == set()
    assert len(ledger.find_affected_nodes(ledger.Ledger(spans=()), current)) == 5


def build_fragmented() -> ledger.Ledger:
    """Return a ledger as large as that of a large site after 20 s of moves."""
    candidates = [
        ledger.Candidate(
            node=identity.NodeId(f"sidecar-qc-est-a-{i}"),
            lifetime=identity.Lifetime(f"i-{i * 7919:010x}@17760{i:08}"),
            weight=3,
        )
        for i in range(46)
    ]
    current = ledger.create(candidates)
    for i in range(40):
        current = ledger.plan_move(current, i * 1500, i * 1500 + 300, candidates[(i * 7) % 46])
        current = ledger.complete_moves(current, {i * 1500: f"handover{i}"})
    return current


def test_encoded_ledger_is_compressed() -> None:
    """Uncompressed, each write cost 88 nodes of a large site 20 KB each over 10 Mbit/s links."""
    current = build_fragmented()
    assert 80 < len(current.spans) < 160
    assert len(ledger.encode(current)) < len(msgspec.json.encode(current)) / 3
    assert ledger.decode(ledger.encode(current)).unwrap() == current


def test_ledgers_of_the_release_before_are_read() -> None:
    """Uncompressed ledgers are still in the store when the first node is upgraded."""
    current = build_fragmented()
    assert ledger.decode(msgspec.json.encode(current)).unwrap() == current


@pytest.mark.parametrize(
    "value",
    [b"", b"x", b"\x78\x9c", b"[]", zlib.compress(b"{}"), zlib.compress(b" " * 10_000_000)[:-4]],
)
def test_unreadable_rows(value: bytes) -> None:
    """An invalid row must yield a failure, not an exception, and decompression must be bounded."""
    assert ledger.decode(value).failure()

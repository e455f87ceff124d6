"""The ledger covers every key exactly once, whatever happens to it."""

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


def assert_covers(book: ledger.Ledger) -> None:
    following = 0
    for span in book.spans:
        assert span.first == following, book
        assert span.last >= span.first
        following = span.last + 1
    assert following == identity.LAST_SLOT + 1


def count_keys(book: ledger.Ledger, name: str) -> int:
    return sum(span.last - span.first + 1 for span in book.spans if span.holder == name)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("vacate"), st.integers(0, 3), st.just(0), st.just(0)),
        st.tuples(
            st.just("move"),
            st.integers(0, 3),
            st.integers(0, identity.LAST_SLOT),
            st.integers(0, identity.LAST_SLOT),
        ),
        st.tuples(st.just("pass"), st.integers(0, 30), st.just(0), st.just(0)),
        st.tuples(st.just("exit"), st.integers(0, 3), st.just(0), st.just(0)),
        st.tuples(st.just("cancel"), st.integers(0, 3), st.just(0), st.just(0)),
    ),
    max_size=12,
)


def take_step(book: ledger.Ledger, step: tuple[str, int, int, int]) -> ledger.Ledger:
    kind, number, first, last = step
    everyone = [build_candidate(one) for one in range(4)]
    if kind == "vacate":
        left = [one for one in everyone if one.lifetime != NAMES[number]]
        vacant = ledger.vacate(book, lambda span: span.holder == NAMES[number])
        return ledger.assign_vacant(vacant, left)
    if kind == "move":
        return ledger.plan_move(book, min(first, last), max(first, last), everyone[number])
    if kind == "pass":
        moving = [span.first for span in book.spans if span.successor]
        return ledger.complete_moves(book, dict.fromkeys(moving[: number + 1], "handover"))
    if kind == "exit":
        return ledger.plan_exit(book, identity.Lifetime(NAMES[number]), everyone)
    return ledger.cancel_moves(book, lambda span: span.successor == NAMES[number])


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(steps=STEPS)
def test_every_key_has_one_span_and_fences_only_rise(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """A key with two spans would have two owners; a lower fence would be refused for ever."""
    book = ledger.create([build_candidate(number) for number in range(3)])
    probes = range(0, identity.LAST_SLOT + 1, 4111)
    for step in steps:
        before = book
        book = take_step(book, step)
        assert_covers(book)
        assert ledger.decode(ledger.encode(book)).unwrap() == book
        for slot in probes:
            old, new = ledger.find_span(before, slot), ledger.find_span(book, slot)
            assert new.fence >= old.fence
            if new.holder != old.holder and new.holder:
                assert new.fence > old.fence, "a new holder needs a higher fence"


def test_first_ledger_divides_by_weight() -> None:
    """A target with twice the slots gets twice the keys."""
    book = ledger.create([build_candidate(0, 2.0), build_candidate(1), build_candidate(2)])
    size = identity.LAST_SLOT + 1
    assert count_keys(book, NAMES[0]) == pytest.approx(size / 2, abs=2)
    assert count_keys(book, NAMES[1]) == pytest.approx(size / 4, abs=2)


def test_lost_targets_keys_go_to_several_others() -> None:
    """One heir for all keys of a lost target would be overloaded at once."""
    book = ledger.create([build_candidate(number) for number in range(4)])
    others = [build_candidate(number) for number in range(3)]
    vacant = ledger.vacate(book, lambda span: span.holder == NAMES[3])
    taken = ledger.assign_vacant(vacant, others)
    assert_covers(taken)
    for number in range(3):
        assert count_keys(taken, NAMES[number]) == pytest.approx(65_536 / 3, abs=2)


def test_targets_without_weight_get_nothing() -> None:
    """Draining, evacuated and lost targets stand with weight 0."""
    book = ledger.create([build_candidate(0), build_candidate(1, 0.0)])
    assert count_keys(book, NAMES[1]) == 0


def test_moving_span_stays_with_its_holder_until_passed_on() -> None:
    """The heir must not be granted keys which the holder still has."""
    book = ledger.create([build_candidate(0), build_candidate(1)])
    moving = ledger.plan_move(book, 0, 99, build_candidate(1))
    assert ledger.find_span(moving, 5).holder == NAMES[0]
    assert ledger.find_span(moving, 5).successor == NAMES[1]
    assert not ledger.find_span(moving, 100).successor
    passed = ledger.complete_moves(moving, {0: "abc"})
    span = ledger.find_span(passed, 5)
    assert (span.holder, span.successor, span.handover, span.fence) == (NAMES[1], "", "abc", 2)


def test_unreadable_row_is_an_error() -> None:
    """The last good ledger stays; a broken row must not pass for an empty one."""
    assert "at `$.spans[0]`" in ledger.decode(b'{"spans":[[0,1]]}').failure()


def test_nodes_that_a_change_concerns() -> None:
    """Those told too little wait for keys; telling all costs the square of the nodes."""
    candidates = [
        ledger.Candidate(
            node=identity.NodeId(f"n{i}"), lifetime=identity.Lifetime(f"t{i}"), weight=1
        )
        for i in range(5)
    ]
    book = ledger.create(candidates)
    own = ledger.list_held(book, identity.Lifetime("t0"))[0]
    moving = ledger.plan_move(book, own.first, own.first + 9, candidates[3])
    assert ledger.find_affected_nodes(book, moving) == {"n0", "n3"}
    moved = ledger.complete_moves(moving, {own.first: ""})
    assert ledger.find_affected_nodes(moving, moved) == {"n0", "n3"}
    assert ledger.find_affected_nodes(moving, ledger.cancel_moves(moving, lambda _: True)) == {
        "n0",
        "n3",
    }
    vacant = ledger.vacate(moved, lambda span: span.holder == "t1")
    assert ledger.find_affected_nodes(moved, vacant) == {"n1"}
    assert ledger.find_affected_nodes(book, book) == set()
    assert len(ledger.find_affected_nodes(ledger.Ledger(spans=()), book)) == 5


def build_fragmented() -> ledger.Ledger:
    """Return a ledger as large as that of a grown site after 20 s of moves."""
    candidates = [
        ledger.Candidate(
            node=identity.NodeId(f"sidecar-qc-est-a-{i}"),
            lifetime=identity.Lifetime(f"i-{i * 7919:010x}@17760{i:08}"),
            weight=3,
        )
        for i in range(46)
    ]
    book = ledger.create(candidates)
    for i in range(40):
        book = ledger.plan_move(book, i * 1500, i * 1500 + 300, candidates[(i * 7) % 46])
        book = ledger.complete_moves(book, {i * 1500: f"handover{i}"})
    return book


def test_ledger_costs_its_readers_a_fraction_of_its_names() -> None:
    """Grown sites: each write was read by 88 nodes, 20 KB each, over links of 10 Mbit/s."""
    book = build_fragmented()
    assert 80 < len(book.spans) < 160
    assert len(ledger.encode(book)) < len(msgspec.json.encode(book)) / 3
    assert ledger.decode(ledger.encode(book)).unwrap() == book


def test_ledgers_of_the_release_before_are_read() -> None:
    """They stand in the store when the first node starts with this one."""
    book = build_fragmented()
    assert ledger.decode(msgspec.json.encode(book)).unwrap() == book


@pytest.mark.parametrize(
    "value",
    [b"", b"x", b"\x78\x9c", b"[]", zlib.compress(b"{}"), zlib.compress(b" " * 10_000_000)[:-4]],
)
def test_unreadable_rows(value: bytes) -> None:
    """An outcome, never an exception, whatever is wrong; unpacking is bounded."""
    assert ledger.decode(value).failure()

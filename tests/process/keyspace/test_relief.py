"""Load pattern: a third of a service's lookups about neighbouring keys, on one owner."""

import random

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger, relief

SLOTS = 9
WORK_S = 0.1


def build_candidate(number: int) -> ledger.Candidate:
    name = identity.Lifetime(f"t{number}@1")
    return ledger.Candidate(node=identity.NodeId(f"n{number}"), lifetime=name, weight=SLOTS)


def measure(
    book: ledger.Ledger, rates: dict[int, float], one: ledger.Candidate
) -> tuple[relief.Load, dict[int, float]]:
    own = {
        slot: rate for slot, rate in rates.items() if ledger.find(book, slot).holder == one.lifetime
    }
    offered = sum(own.values()) * WORK_S / SLOTS
    return relief.Load(candidate=one, offered=offered, request_load=WORK_S / SLOTS), own


def find_moves(
    book: ledger.Ledger,
    rates: dict[int, float],
    one: ledger.Candidate,
    everyone: list[ledger.Candidate],
) -> list[relief.Move]:
    own, own_rates = measure(book, rates, one)
    others = [measure(book, rates, other)[0] for other in everyone if other is not one]
    mean = sum(load.offered for load in [own, *others]) / len(everyone)
    return relief.find_moves(book, own, others, own_rates, mean=mean)


def run_round(
    book: ledger.Ledger, rates: dict[int, float], everyone: list[ledger.Candidate]
) -> tuple[ledger.Ledger, int]:
    """Let every target look once, then pass on what moves."""
    moved = 0
    for one in everyone:
        for move in find_moves(book, rates, one, everyone):
            book = ledger.order_move(book, move.first, move.last, move.heir)
            moved += move.last - move.first + 1
        book = ledger.pass_on(book, {span.first: "h" for span in book.spans if span.heir})
    return book, moved


def read_worst(
    book: ledger.Ledger, rates: dict[int, float], everyone: list[ledger.Candidate]
) -> float:
    offered = [measure(book, rates, one)[0].offered for one in everyone]
    return max(offered) / (sum(offered) / len(offered))


def test_hot_neighbours_are_spread_in_few_moves() -> None:
    """60 neighbouring keys with 40% of the load come apart within three looks."""
    rng = random.Random(5)
    everyone = [build_candidate(number) for number in range(6)]
    book = ledger.create(everyone)
    rates = {rng.randrange(65_536): 0.2 for _ in range(900)}
    for slot in range(20_000, 20_060):
        rates[slot] = rates.get(slot, 0.0) + 2.0
    assert read_worst(book, rates, everyone) > 2.0
    for _ in range(3):
        book, _ = run_round(book, rates, everyone)
    assert read_worst(book, rates, everyone) < 1.4
    assert len(book.spans) < 30


def test_calm_load_moves_nothing() -> None:
    """Moves cost; a target with room is left alone however uneven the shares are."""
    rng = random.Random(5)
    everyone = [build_candidate(number) for number in range(6)]
    book = ledger.create(everyone)
    rates = {rng.randrange(65_536): 0.1 for _ in range(400)}
    after, moved = run_round(book, rates, everyone)
    assert moved == 0
    assert after == book


def test_single_hot_key_stays_whole() -> None:
    """One key can't be divided; moving it would only move the trouble."""
    everyone = [build_candidate(number) for number in range(2)]
    book = ledger.create(everyone)
    rates = {100: 200.0}
    assert find_moves(book, rates, everyone[0], everyone) == []


def test_nothing_is_planned_while_a_move_is_under_way() -> None:
    """The loads of a move under way are not known yet."""
    everyone = [build_candidate(number) for number in range(2)]
    book = ledger.create(everyone)
    rates = dict.fromkeys(range(100), 2.0)
    book = ledger.order_move(book, 0, 9, everyone[1])
    assert find_moves(book, rates, everyone[0], everyone) == []

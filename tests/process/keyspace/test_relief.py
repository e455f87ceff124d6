"""Load patterns: a third of a service's lookups about neighbouring keys, on one owner; targets
whose speeds differ by more than two."""

import random

from ebonyvalve.process import identity
from ebonyvalve.process.keyspace import ledger, rebalancing

SLOTS = 9
WORK_S = 0.1


def build_candidate(number: int) -> ledger.Candidate:
    name = identity.Lifetime(f"t{number}@1")
    return ledger.Candidate(node=identity.NodeId(f"n{number}"), lifetime=name, weight=SLOTS)


def measure(
    book: ledger.Ledger, rates: dict[int, float], one: ledger.Candidate, work_s: float = WORK_S
) -> tuple[rebalancing.Load, dict[int, float]]:
    own = {
        slot: rate
        for slot, rate in rates.items()
        if ledger.find_span(book, slot).holder == one.lifetime
    }
    offered = sum(own.values()) * work_s / SLOTS
    return rebalancing.Load(candidate=one, offered=offered, request_load=work_s / SLOTS), own


def find_moves(
    book: ledger.Ledger,
    rates: dict[int, float],
    one: ledger.Candidate,
    everyone: list[ledger.Candidate],
) -> list[rebalancing.Move]:
    own, own_rates = measure(book, rates, one)
    others = [measure(book, rates, other)[0] for other in everyone if other is not one]
    mean = sum(load.offered for load in [own, *others]) / len(everyone)
    return rebalancing.find_moves(book, own, others, own_rates, mean=mean)


def run_round(
    book: ledger.Ledger, rates: dict[int, float], everyone: list[ledger.Candidate]
) -> tuple[ledger.Ledger, int]:
    """Let every target look once, then pass on what moves."""
    moved = 0
    for one in everyone:
        for move in find_moves(book, rates, one, everyone):
            book = ledger.plan_move(book, move.first, move.last, move.successor)
            moved += move.last - move.first + 1
        book = ledger.complete_moves(
            book, {span.first: "h" for span in book.spans if span.successor}
        )
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
    book = ledger.plan_move(book, 0, 9, everyone[1])
    assert find_moves(book, rates, everyone[0], everyone) == []


def spread(
    works_s: list[float], per_s: float, rounds: int
) -> tuple[list[rebalancing.Load], list[int], list[int]]:
    """Let targets of different speeds look in turn; return loads, keys held, keys moved a round."""
    rng = random.Random(7)
    everyone = [build_candidate(number) for number in range(len(works_s))]
    book = ledger.create(everyone)
    rates = {rng.randrange(65_536): per_s / 2000 for _ in range(2000)}
    moved = []
    for _ in range(rounds):
        count = 0
        for one in everyone:
            pairs = [
                measure(book, rates, other, work_s)
                for other, work_s in zip(everyone, works_s, strict=True)
            ]
            loads = [load for load, _ in pairs]
            number = everyone.index(one)
            others = loads[:number] + loads[number + 1 :]
            mean = sum(load.offered for load in loads) / len(loads)
            found = rebalancing.find_moves(book, loads[number], others, pairs[number][1], mean=mean)
            for move in found:
                book = ledger.plan_move(book, move.first, move.last, move.successor)
                count += move.last - move.first + 1
            book = ledger.complete_moves(
                book, {span.first: "h" for span in book.spans if span.successor}
            )
        moved.append(count)
    loads = [
        measure(book, rates, one, work_s)[0] for one, work_s in zip(everyone, works_s, strict=True)
    ]
    held = [
        sum(span.last - span.first + 1 for span in ledger.list_held(book, one.lifetime))
        for one in everyone
    ]
    return loads, held, moved


def test_fast_targets_get_more_keys_on_calm_days() -> None:
    """Half of a calm day's lookups were late at slow targets while fast ones idled at 0.25.

    The fast ones are filled up to comfort, and no further.
    """
    works_s = [0.13, 0.13, 0.056, 0.13, 0.13, 0.056]
    loads, held, moved = spread(works_s, 240.0, 8)
    slow = [load.offered for load, work_s in zip(loads, works_s, strict=True) if work_s > 0.1]
    fast = [load.offered for load, work_s in zip(loads, works_s, strict=True) if work_s < 0.1]
    assert all(0.4 < offered <= rebalancing.FILL_LOAD for offered in fast)
    assert all(offered < 0.45 for offered in slow)
    assert held[2] + held[5] > 0.5 * (identity.LAST_SLOT + 1)
    assert sum(moved[-3:]) == 0


def test_burst_uses_slow_targets_as_well() -> None:
    """A burst of 1.7 goes back to the slow ones before the fast ones are full."""
    works_s = [0.13, 0.13, 0.056, 0.13, 0.13, 0.056]
    loads, _, _ = spread(works_s, 400.0, 8)
    assert max(load.offered for load in loads) < 0.9


def test_noise_of_work_times_moves_nothing() -> None:
    """Targets of one speed whose work times were measured a sixth apart."""
    _, _, moved = spread([0.1, 0.085, 0.115, 0.1], 140.0, 4)
    assert sum(moved) == 0

"""The ledger of a service: which target holds which keys, and the changes to that assignment.

The ledger is one row of the store and is changed by conditional writes only. Every function here
is pure: it returns a new ledger and reads neither a clock nor the network.
"""

import bisect
import collections.abc
import dataclasses
import zlib

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity

NO_HOLDER = identity.Lifetime("")
# A ledger in which every key has a span of its own is almost this large.
MAX_BYTES = 8 * 1024 * 1024
# The first byte of a ledger written by an earlier release, which did not compress them.
UNCOMPRESSED_START = b"{"


class Span(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A range of keys and its holder.

    ``first`` and ``last`` are key slots, which this module calls keys for short. ``fence`` is the
    fencing token, which rises with each new holder. ``successor`` is the target that gets the range
    in a planned move; the holder keeps it until it has released it. ``handover`` is what the
    previous holder left for the current one.
    """

    first: decoding.KeySlot
    last: decoding.KeySlot
    fence: decoding.Count
    node: str
    holder: str
    successor_node: str = ""
    successor: str = ""
    handover: str = ""


class Ledger(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """The spans of a service, which cover all keys in ascending order.

    The other fields are absent until the store is restored from a copy. ``since`` is the version at
    which the first ledger after that was begun. ``unconfirmed`` are ranges of keys, by first and
    last key, that a holder which this ledger does not name may still hold by a lease from before;
    all of those leases have ended at ``settled_s`` on the store's clock.
    """

    spans: tuple[Span, ...]
    since: decoding.Count = 0
    unconfirmed: tuple[tuple[decoding.KeySlot, decoding.KeySlot], ...] = ()
    settled_s: decoding.Seconds = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target that may hold keys; ``weight`` is its relative capacity, 0 for no keys."""

    node: identity.NodeId
    lifetime: identity.Lifetime
    weight: float


def create(candidates: collections.abc.Iterable[Candidate], fence: int = 0) -> Ledger:
    """Return the first ledger of a service.

    :param candidates: the targets known so far.
    :param fence: at least the highest fence of any earlier ledger of the service.
    """
    vacant = Span(first=0, last=identity.LAST_KEY_SLOT, fence=fence, node="", holder=NO_HOLDER)
    return assign_vacant(Ledger(spans=(vacant,)), candidates)


def encode(ledger: Ledger) -> bytes:
    """Encode a ledger as the value of its row.

    It is compressed because names repeat in it and every node reads every write.

    :param ledger: the ledger.
    """
    return zlib.compress(msgspec.json.encode(ledger), level=6)


def decode(value: bytes) -> result.Result[Ledger, str]:
    """Decode a row, compressed or not, and return the ledger or why it is invalid.

    :param value: the value of the row.
    """
    if value[:1] == UNCOMPRESSED_START:
        return decoding.decode(value, Ledger, find_fault)
    decompressed = decoding.decompress(value, max_bytes=MAX_BYTES)
    return decompressed.bind(lambda plain: decoding.decode(plain, Ledger, find_fault))


def find_fault(ledger: Ledger) -> str:
    """Return why the spans don't assign each key to at most one holder, or an empty string.

    :param ledger: the ledger.
    """
    next_key = 0
    for span in ledger.spans:
        if span.first != next_key or span.last < span.first:
            return f"span {span.first} to {span.last} does not begin at key {next_key}"
        next_key = span.last + 1
        is_partial = bool(span.holder) != bool(span.node) or bool(span.successor) != bool(
            span.successor_node
        )
        if is_partial or (span.successor and not span.holder):
            return f"span {span.first} to {span.last} names a target or a node without the other"
        names = (span.node, span.holder, span.successor_node, span.successor)
        if not all(decoding.is_name(name) for name in names if name):
            return f"span {span.first} to {span.last} has an invalid name"
    if next_key <= identity.LAST_KEY_SLOT:
        return f"keys from {next_key} on are in no span"
    return find_range_fault(ledger.unconfirmed)


def find_range_fault(ranges: collections.abc.Iterable[tuple[int, int]]) -> str:
    """Return why ranges of keys are not in ascending order and apart, or an empty string.

    :param ranges: the ranges, by first and last key.
    """
    next_key = 0
    for first, last in ranges:
        if first < next_key or last < first:
            return f"range {first} to {last} does not follow key {next_key - 1}"
        next_key = last + 1
    return ""


def find_span(ledger: Ledger, key_slot: int) -> Span:
    """Return the span of a key.

    :param ledger: the ledger.
    :param key_slot: the slot of the key.
    """
    index = bisect.bisect_right(ledger.spans, key_slot, key=lambda span: span.first) - 1
    return ledger.spans[max(index, 0)]


def list_held(ledger: Ledger, lifetime: identity.Lifetime) -> list[Span]:
    """Return the spans that a target holds, including those that are moving away from it.

    :param ledger: the ledger.
    :param lifetime: the target.
    """
    return [span for span in ledger.spans if span.holder == lifetime]


def list_nodes(ledger: Ledger) -> set[identity.NodeId]:
    """Return the nodes whose targets hold keys.

    :param ledger: the ledger.
    """
    return {identity.NodeId(span.node) for span in ledger.spans if span.node}


def vacate(ledger: Ledger, is_lost: collections.abc.Callable[[Span], bool]) -> Ledger:
    """Take spans, without a handover, from holders that can no longer serve them.

    :param ledger: the ledger.
    :param is_lost: returns whether the holder of a span has certainly lost it.
    """
    return msgspec.structs.replace(
        ledger,
        spans=tuple(
            (
                msgspec.structs.replace(
                    span, node="", holder=NO_HOLDER, successor="", successor_node="", handover=""
                )
                if span.holder and is_lost(span)
                else span
            )
            for span in ledger.spans
        ),
    )


def complete_moves(ledger: Ledger, released: collections.abc.Mapping[int, str]) -> Ledger:
    """Give released spans to their successors.

    :param ledger: the ledger.
    :param released: the handover of each span by its first key; empty if the holder gave none.
    """
    return msgspec.structs.replace(
        ledger,
        spans=tuple(
            (
                msgspec.structs.replace(
                    span,
                    fence=span.fence + 1,
                    node=span.successor_node,
                    holder=span.successor,
                    successor="",
                    successor_node="",
                    handover=released[span.first],
                )
                if span.first in released and span.successor
                else span
            )
            for span in ledger.spans
        ),
    )


def cancel_moves(ledger: Ledger, is_wrong: collections.abc.Callable[[Span], bool]) -> Ledger:
    """Cancel planned moves to successors that can no longer take the span.

    :param ledger: the ledger.
    :param is_wrong: returns whether the successor of a span must not get it.
    """
    return msgspec.structs.replace(
        ledger,
        spans=tuple(
            (
                msgspec.structs.replace(span, successor="", successor_node="")
                if span.successor and is_wrong(span)
                else span
            )
            for span in ledger.spans
        ),
    )


def assign_vacant(ledger: Ledger, candidates: collections.abc.Iterable[Candidate]) -> Ledger:
    """Assign vacant keys to the candidates that hold the fewest keys for their weight.

    Vacant ranges are split to even out the shares, so that the keys of one lost target go to
    several others.

    :param ledger: the ledger.
    :param candidates: the targets that may take keys.
    """
    eligible = sorted(
        (candidate for candidate in candidates if candidate.weight > 0),
        key=lambda candidate: candidate.lifetime,
    )
    if not eligible or not any(span.holder == NO_HOLDER for span in ledger.spans):
        return ledger
    shortfalls = _find_shortfalls(ledger, eligible)
    spans: list[Span] = []
    for span in ledger.spans:
        if span.holder == NO_HOLDER:
            spans.extend(_divide(span, shortfalls))
        else:
            spans.append(span)
    return msgspec.structs.replace(ledger, spans=tuple(spans))


def _find_shortfalls(ledger: Ledger, eligible: list[Candidate]) -> list[tuple[float, Candidate]]:
    """Return how many keys each candidate lacks to its fair share, largest shortfall first."""
    total_weight = sum(candidate.weight for candidate in eligible)
    key_counts = dict.fromkeys((candidate.lifetime for candidate in eligible), 0)
    for span in ledger.spans:
        holder = span.successor or span.holder
        if holder in key_counts:
            key_counts[identity.Lifetime(holder)] += span.last - span.first + 1
    size = identity.LAST_KEY_SLOT + 1
    return sorted(
        (
            (size * candidate.weight / total_weight - key_counts[candidate.lifetime], candidate)
            for candidate in eligible
        ),
        key=lambda pair: -pair[0],
    )


def _divide(
    span: Span, shortfalls: list[tuple[float, Candidate]]
) -> collections.abc.Iterator[Span]:
    """Divide a vacant span among the candidates with the largest shortfalls."""
    first = span.first
    while first <= span.last:
        shortfalls.sort(key=lambda pair: -pair[0])
        shortfall, candidate = shortfalls[0]
        remaining = span.last - first + 1
        # A remainder of a single key is not worth a span of its own.
        take = (
            remaining
            if shortfall >= remaining - 1 or len(shortfalls) == 1 or shortfall < 1
            else int(shortfall)
        )
        shortfalls[0] = (shortfall - take, candidate)
        yield msgspec.structs.replace(
            span,
            first=first,
            last=first + take - 1,
            fence=span.fence + 1,
            node=candidate.node,
            holder=candidate.lifetime,
        )
        first += take


def find_receivers(before: Ledger, after: Ledger) -> set[identity.Lifetime]:
    """Return the targets that have received keys from another holder.

    :param before: the earlier ledger.
    :param after: the later one.
    """
    return {
        identity.Lifetime(span.holder)
        for span in after.spans
        if span.holder and find_span(before, span.first).holder != span.holder
    }


def find_affected_nodes(before: Ledger, after: Ledger) -> set[identity.NodeId]:
    """Return the nodes that held, hold or are to get the ranges that have changed.

    :param before: the earlier ledger; without spans if there was none.
    :param after: the later one.
    """
    names: set[str] = set()
    for span in after.spans:
        previous = find_span(before, span.first) if before.spans else None
        if previous is None or _read_ownership(previous) != _read_ownership(span):
            names |= {span.node, span.successor_node}
            names |= {previous.node, previous.successor_node} if previous is not None else set()
    return {identity.NodeId(name) for name in names if name}


def _read_ownership(span: Span) -> tuple[int, str, str]:
    return span.fence, span.holder, span.successor


def plan_move(ledger: Ledger, first: int, last: int, successor: Candidate) -> Ledger:
    """Plan the move of a range to another target, splitting spans at its ends.

    :param ledger: the ledger.
    :param first: the first key.
    :param last: the last key.
    :param successor: the target that is to get the range.
    """
    spans: list[Span] = []
    for span in ledger.spans:
        if span.last < first or span.first > last:
            spans.append(span)
            continue
        if span.first < first:
            spans.append(msgspec.structs.replace(span, last=first - 1))
        inside = msgspec.structs.replace(
            span, first=max(span.first, first), last=min(span.last, last)
        )
        if inside.holder not in (successor.lifetime, NO_HOLDER):
            inside = msgspec.structs.replace(
                inside, successor=successor.lifetime, successor_node=successor.node
            )
        spans.append(inside)
        if span.last > last:
            spans.append(msgspec.structs.replace(span, first=last + 1))
    return msgspec.structs.replace(ledger, spans=tuple(spans))


def plan_exit(
    ledger: Ledger,
    lifetime: identity.Lifetime,
    candidates: collections.abc.Iterable[Candidate],
) -> Ledger:
    """Plan the moves of all spans away from a target.

    :param ledger: the ledger.
    :param lifetime: the target that has to give up its keys.
    :param candidates: the targets that may take them.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.weight > 0 and candidate.lifetime != lifetime
    ]
    if not eligible:
        return ledger
    names = {candidate.lifetime for candidate in eligible}
    shortfalls = _find_shortfalls(ledger, eligible)
    spans: list[Span] = []
    for span in ledger.spans:
        if span.holder != lifetime or span.successor in names:
            spans.append(span)
            continue
        for part in _divide(span, shortfalls):
            spans.append(
                msgspec.structs.replace(
                    span,
                    first=part.first,
                    last=part.last,
                    successor=part.holder,
                    successor_node=part.node,
                )
            )
    return msgspec.structs.replace(ledger, spans=tuple(spans))

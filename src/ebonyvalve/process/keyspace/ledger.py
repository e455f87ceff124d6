"""Which target holds which keys: the committed assignment of one service and its transitions.

The ledger is one row of the table, changed by conditional writes only. Every function returns a
new ledger; nothing here reads a clock or the network.
"""

import bisect
import collections.abc
import dataclasses
import zlib

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity

NO_HOLDER = identity.Lifetime("")
# A ledger in which each of all keys has a span of its own comes near it.
MAX_BYTES = 8 * 1024 * 1024
# Begins the ledgers of a release that did not pack them.
UNCOMPRESSED_START = b"{"


class Span(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A range of keys with its holder.

    ``heir`` is the target to which a planned move leads; the holder keeps the range until it has
    released it. ``handover`` is what the last holder gave, for the present holder to show.
    """

    first: decoding.KeySlot
    last: decoding.KeySlot
    fence: decoding.Count
    node: str
    holder: str
    successor_node: str = ""
    successor: str = ""
    handover: str = ""


class Ledger(msgspec.Struct, kw_only=True, frozen=True):
    """All spans of a service, in ascending order and without gaps."""

    spans: tuple[Span, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target that may hold keys. ``weight`` is its capacity against the others'; 0 takes none."""

    node: identity.NodeId
    lifetime: identity.Lifetime
    weight: float


def create(candidates: collections.abc.Iterable[Candidate], fence: int = 0) -> Ledger:
    """Return the first ledger of a service.

    :param candidates: the targets known so far.
    :param fence: no fence of an earlier ledger of the service is higher.
    """
    vacant = Span(first=0, last=identity.LAST_SLOT, fence=fence, node="", holder=NO_HOLDER)
    return assign_vacant(Ledger(spans=(vacant,)), candidates)


def encode(ledger: Ledger) -> bytes:
    """Return the ledger as the bytes of its row.

    Names repeat in it, and each write is read by every node.

    :param ledger: the ledger.
    """
    return zlib.compress(msgspec.json.encode(ledger), level=6)


def decode(value: bytes) -> result.Result[Ledger, str]:
    """Return the ledger of a row, packed or not, or what is wrong with it.

    :param value: the row's bytes.
    """
    if value[:1] == UNCOMPRESSED_START:
        return decoding.decode(value, Ledger, find_fault)
    unpacked = decoding.decompress(value, max_bytes=MAX_BYTES)
    return unpacked.bind(lambda plain: decoding.decode(plain, Ledger, find_fault))


def find_fault(ledger: Ledger) -> str:
    """Return why the spans don't give each key to one holder or to nobody, or an empty text.

    :param ledger: the ledger.
    """
    due = 0
    for span in ledger.spans:
        if span.first != due or span.last < span.first:
            return f"span {span.first} to {span.last} does not begin at key {due}"
        due = span.last + 1
        is_half = bool(span.holder) != bool(span.node) or bool(span.successor) != bool(
            span.successor_node
        )
        if is_half or (span.successor and not span.holder):
            return f"span {span.first} to {span.last} names a target without its node"
        names = (span.node, span.holder, span.successor_node, span.successor)
        if not all(decoding.is_name(name) for name in names if name):
            return f"span {span.first} to {span.last} names no target"
    return "" if due > identity.LAST_SLOT else f"keys from {due} on are in no span"


def find_span(ledger: Ledger, slot: int) -> Span:
    """Return the span of a key.

    :param ledger: the ledger.
    :param slot: the key.
    """
    index = bisect.bisect_right(ledger.spans, slot, key=lambda span: span.first) - 1
    return ledger.spans[max(index, 0)]


def list_held(ledger: Ledger, lifetime: identity.Lifetime) -> list[Span]:
    """Return the spans that a target holds, those that it is about to lose included.

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
    """Take spans from holders that can't serve them any more, without a handover.

    :param ledger: the ledger.
    :param is_lost: whether the holder of a span has provably lost it.
    """
    return Ledger(
        spans=tuple(
            (
                msgspec.structs.replace(
                    span, node="", holder=NO_HOLDER, successor="", successor_node="", handover=""
                )
                if span.holder and is_lost(span)
                else span
            )
            for span in ledger.spans
        )
    )


def complete_moves(ledger: Ledger, released: collections.abc.Mapping[int, str]) -> Ledger:
    """Move released spans to their heirs.

    :param ledger: the ledger.
    :param released: handovers by the first key of the span; empty if the holder gave none.
    """
    return Ledger(
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
        )
    )


def cancel_moves(ledger: Ledger, is_wrong: collections.abc.Callable[[Span], bool]) -> Ledger:
    """Leave spans with their holders whose heirs can't take them any more.

    :param ledger: the ledger.
    :param is_wrong: whether the heir of a span must not get it.
    """
    return Ledger(
        spans=tuple(
            (
                msgspec.structs.replace(span, successor="", successor_node="")
                if span.successor and is_wrong(span)
                else span
            )
            for span in ledger.spans
        )
    )


def assign_vacant(ledger: Ledger, candidates: collections.abc.Iterable[Candidate]) -> Ledger:
    """Give vacant keys to the candidates that hold least for their weight.

    Vacant ranges are cut where that evens out the shares, so that the keys of one lost target go
    to several others.

    :param ledger: the ledger.
    :param candidates: targets that may take keys.
    """
    able = sorted((one for one in candidates if one.weight > 0), key=lambda one: one.lifetime)
    if not able or not any(span.holder == NO_HOLDER for span in ledger.spans):
        return ledger
    wanted = _find_shortfalls(ledger, able)
    spans: list[Span] = []
    for span in ledger.spans:
        if span.holder == NO_HOLDER:
            spans.extend(_divide(span, wanted))
        else:
            spans.append(span)
    return Ledger(spans=tuple(spans))


def _find_shortfalls(ledger: Ledger, able: list[Candidate]) -> list[tuple[float, Candidate]]:
    """Return how many keys each candidate lacks to its fair share, most first."""
    total = sum(one.weight for one in able)
    held = dict.fromkeys((one.lifetime for one in able), 0)
    for span in ledger.spans:
        holder = span.successor or span.holder
        if holder in held:
            held[identity.Lifetime(holder)] += span.last - span.first + 1
    size = identity.LAST_SLOT + 1
    return sorted(
        ((size * one.weight / total - held[one.lifetime], one) for one in able),
        key=lambda pair: -pair[0],
    )


def _divide(span: Span, wanted: list[tuple[float, Candidate]]) -> collections.abc.Iterator[Span]:
    """Cut a vacant span among the candidates with the largest shortfalls."""
    first = span.first
    while first <= span.last:
        wanted.sort(key=lambda pair: -pair[0])
        lack, one = wanted[0]
        left = span.last - first + 1
        # A remainder of a few keys isn't worth a span of its own.
        take = left if lack >= left - 1 or len(wanted) == 1 or lack < 1 else int(lack)
        wanted[0] = (lack - take, one)
        yield msgspec.structs.replace(
            span,
            first=first,
            last=first + take - 1,
            fence=span.fence + 1,
            node=one.node,
            holder=one.lifetime,
        )
        first += take


def find_receivers(before: Ledger, after: Ledger) -> set[identity.Lifetime]:
    """Return the targets that hold keys which another one held before.

    :param before: the earlier ledger.
    :param after: the later one.
    """
    return {
        identity.Lifetime(span.holder)
        for span in after.spans
        if span.holder and find_span(before, span.first).holder != span.holder
    }


def find_affected_nodes(before: Ledger, after: Ledger) -> set[identity.NodeId]:
    """Return the nodes that hold, have held or shall get the ranges that differ.

    :param before: the earlier ledger; without spans, if there was none.
    :param after: the later one.
    """
    names: set[str] = set()
    for span in after.spans:
        old = find_span(before, span.first) if before.spans else None
        if old is None or _read_ownership(old) != _read_ownership(span):
            names |= {span.node, span.successor_node}
            names |= {old.node, old.successor_node} if old is not None else set()
    return {identity.NodeId(name) for name in names if name}


def _read_ownership(span: Span) -> tuple[int, str, str]:
    return span.fence, span.holder, span.successor


def plan_move(ledger: Ledger, first: int, last: int, heir: Candidate) -> Ledger:
    """Plan the move of a range to another target; spans are cut at its ends.

    :param ledger: the ledger.
    :param first: the first key.
    :param last: the last key.
    :param heir: who shall get it.
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
        if inside.holder not in (heir.lifetime, NO_HOLDER):
            inside = msgspec.structs.replace(
                inside, successor=heir.lifetime, successor_node=heir.node
            )
        spans.append(inside)
        if span.last > last:
            spans.append(msgspec.structs.replace(span, first=last + 1))
    return Ledger(spans=tuple(spans))


def plan_exit(
    ledger: Ledger,
    lifetime: identity.Lifetime,
    candidates: collections.abc.Iterable[Candidate],
) -> Ledger:
    """Plan the moves of all spans of a target that must hold none.

    :param ledger: the ledger.
    :param lifetime: the target that gives up its keys.
    :param candidates: targets that may take them.
    """
    able = [one for one in candidates if one.weight > 0 and one.lifetime != lifetime]
    if not able:
        return ledger
    names = {one.lifetime for one in able}
    wanted = _find_shortfalls(ledger, able)
    spans: list[Span] = []
    for span in ledger.spans:
        if span.holder != lifetime or span.successor in names:
            spans.append(span)
            continue
        for part in _divide(span, wanted):
            spans.append(
                msgspec.structs.replace(
                    span,
                    first=part.first,
                    last=part.last,
                    successor=part.holder,
                    successor_node=part.node,
                )
            )
    return Ledger(spans=tuple(spans))

"""Follows the store's feeds through other nodes, so that its calls don't grow with the mesh.

A few nodes of each zone follow the store. The others make the same long polls at one of them, and
turn to the store when none of them answers.
"""

import collections.abc
import dataclasses
import logging
import math
import typing
import urllib.parse
import zlib

import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, http, identity, network
from ebonyvalve.process.store import era, table

log = logging.getLogger(__name__)

# Followed by the table, the version to start after and the longest wait in milliseconds.
FEED_PATH = "/ebonyvalve/feed/"
# How many nodes share one that follows the store.
FAN_OUT = 16
# One of them may be lost without sending the others of its zone to the store.
MIN_SOURCES = 2
# In smaller zones every node follows the store.
MIN_RELAYED_ZONE = 9
# Longest wait of one poll, which bounds how long a frozen node goes unnoticed.
POLL_S = 4.0
POLL_SLACK_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# A node that did not answer a poll is not asked again for this long.
SOURCE_PAUSE_S = 3.0
# A node that lacks a source asks a store that fails it only this often. The nodes that follow the
# store notice its return sooner.
STORE_PAUSE_S = 2.0
# Longest wait of the long polls that a node makes for others too, so that a lost one is noticed.
SOURCE_WAIT_S = 2.0
# A node that the store has not answered for this long refuses others. It covers a long poll and
# its time-out.
MAX_AGE_S = 4.0
# Longest wait of the first long poll after a failure.
RECOVERY_WAIT_S = 1.0
# The changes that are kept for others; older ones have to be read from the store.
MAX_CHANGES = 2048
# The rows of a whole mesh, compressed.
MAX_BYTES = 16 * 1024 * 1024
OK = 200
# Answers of about the same age share their encoded form.
LEAD_STEP_S = 0.25
Lead = typing.Annotated[float, msgspec.Meta(ge=-decoding.MAX_SECONDS, le=decoding.MAX_SECONDS)]


class EncodedRow(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """One row on its way to another node, as an array, so that the order of the fields matters."""

    key: str
    version: decoding.Count
    is_removed: bool
    value: bytes


class Changes(msgspec.Struct, kw_only=True, frozen=True):
    """The rows of a table that have changed, complete up to ``version``.

    They were current at least ``lead_s`` seconds after the poll arrived. Nodes of earlier releases
    don't send it.
    """

    version: decoding.Count
    rows: list[EncodedRow]
    lead_s: Lead | None = None


@dataclasses.dataclass(kw_only=True)
class ChangeLog:
    """The newest change of each row of a table with a version above ``floor`` up to ``version``.

    ``newest`` is the highest version of a row. ``confirmed_at`` is when the store last answered for
    the table, and ``current_at`` when that answer was requested, in seconds on the node's clock.
    ``changed`` is set and replaced when changes are added. ``encoded`` is the last answer by the
    versions that it spans and its lead, since most of the nodes that ask have seen the same.
    """

    floor: int = 0
    version: int = 0
    newest: int = 0
    rows: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    confirmed_at: float = float("-inf")
    current_at: float = float("-inf")
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    encoded: tuple[int, int, float, bytes] | None = None


@dataclasses.dataclass(kw_only=True)
class Relay:
    """The feeds of one node.

    ``find_sources`` returns the addresses of the nodes that follow the store for the others, the
    preferred one first. The node follows the store itself if its own ``address`` is among them, or
    if there are none. ``pause`` sleeps for some seconds.
    ``answered_at`` and ``failed_at`` are when the store last answered a call and when it last
    failed one. Times are in seconds on the node's clock. ``eras`` is the era of the store.
    """

    address: identity.Address
    store: table.Store
    connect: network.Connect
    now: collections.abc.Callable[[], float]
    pause: collections.abc.Callable[[float], collections.abc.Awaitable[None]]
    find_sources: collections.abc.Callable[[], collections.abc.Sequence[identity.Address]]
    logs: dict[table.TableName, ChangeLog] = dataclasses.field(default_factory=dict)
    asked_again_at: dict[identity.Address, float] = dataclasses.field(default_factory=dict)
    answered_at: float = float("-inf")
    failed_at: float = float("-inf")
    is_stopping: bool = False
    eras: era.Tracker = dataclasses.field(default_factory=era.Tracker)


def choose_sources(
    name: identity.NodeId, zone: collections.abc.Collection[identity.NodeId]
) -> list[identity.NodeId]:
    """Return the nodes that follow the store for all nodes of a zone, the preferred one first.

    There are none in a small zone. All nodes choose the same ones if they know the same members.
    Where they don't, a node that is asked without following the store refuses.

    :param name: the node that chooses.
    :param zone: the nodes of its zone.
    """
    ranked = sorted({*zone, name}, key=lambda other: (zlib.crc32(other.encode()), other))
    if len(ranked) < MIN_RELAYED_ZONE:
        return []
    sources = ranked[: max(MIN_SOURCES, -(-len(ranked) // FAN_OUT))]
    start = zlib.crc32(name.encode()) // FAN_OUT % len(sources)
    return sources[start:] + sources[:start]


def open_store(relay: Relay) -> table.Store:
    """Return the store's operations, with follows that go through other nodes where possible.

    A follow without a wait goes to the store itself.

    :param relay: the state.
    """

    async def read(name: table.TableName) -> table.Rows | table.Failure:
        asked_at = relay.now()
        answer = await relay.store.read(name)
        _record_answer(relay, answer)
        if isinstance(answer, table.Rows):
            changes = _find_log(relay, name)
            record_whole(changes, answer, relay.now())
            _record_current(changes, answer, asked_at)
        return answer

    async def follow(
        name: table.TableName, after: int, wait_s: float
    ) -> table.Rows | table.Failure:
        if era.is_earlier(relay.eras, after):
            # A source that has not noticed the restore yet would let this node wait.
            return table.Failure.HISTORY_GONE
        sources = relay.find_sources()
        is_source = relay.address in sources
        if is_source or not sources or wait_s == 0:
            wait_s = min(wait_s, SOURCE_WAIT_S) if is_source else wait_s
            return await _follow_store(relay, name, after, wait_s)
        relayed = await _follow_sources(relay, sources, name, after, wait_s)
        if relayed is not None:
            record_changes(_find_log(relay, name), relayed, after)
            return relayed
        if relay.failed_at > relay.answered_at:
            await relay.pause(max(0.0, relay.failed_at + STORE_PAUSE_S - relay.now()))
        return await _follow_store(relay, name, after, wait_s)

    async def commit(
        expected: dict[table.Name, int], writes: dict[table.Name, bytes | None]
    ) -> table.Committed | table.Conflict | table.Failure:
        answer = await relay.store.commit(expected, writes)
        _record_answer(relay, answer)
        return answer

    return table.Store(read=read, follow=follow, commit=commit)


async def _follow_store(
    relay: Relay, name: table.TableName, after: int, wait_s: float
) -> table.Rows | table.Failure:
    if relay.failed_at > relay.answered_at:
        # The end of an outage shows in the next answer.
        wait_s = min(wait_s, RECOVERY_WAIT_S)
    asked_at = relay.now()
    answer = await relay.store.follow(name, after, wait_s)
    if isinstance(answer, table.Rows):
        changes = _find_log(relay, name)
        record_changes(changes, answer, after, confirmed_at=relay.now())
        _record_current(changes, answer, asked_at)
    _record_answer(relay, answer)
    return answer


def _record_answer(relay: Relay, answer: object) -> None:
    """Record whether the store has answered; nodes that wait for its changes hear of a failure."""
    if isinstance(answer, table.Failure) and answer is not table.Failure.HISTORY_GONE:
        relay.failed_at = relay.now()
        _wake_all(relay)
    else:
        relay.answered_at = relay.now()


def _record_current(changes: ChangeLog, answer: table.Rows, asked_at: float) -> None:
    """Record when the log was current, unless the answer is older than what it has."""
    if answer.version >= changes.version:
        changes.current_at = max(changes.current_at, asked_at)


def _wake_all(relay: Relay) -> None:
    for changes in relay.logs.values():
        _wake(changes)


def _wake(changes: ChangeLog) -> None:
    changes.changed.set()
    changes.changed = trio.Event()


def _find_log(relay: Relay, name: table.TableName) -> ChangeLog:
    return relay.logs.setdefault(name, ChangeLog())


def record_whole(changes: ChangeLog, read: table.Rows, now: float) -> None:
    """Start the log of a table anew after all of its rows were read.

    :param changes: the log.
    :param read: all rows of the table.
    :param now: seconds on the node's clock.
    """
    changes.confirmed_at = now
    if read.version > changes.version:
        # Rows that were removed before are missing, so that older changes can't be passed on.
        changes.floor = changes.version = changes.newest = read.version
        changes.rows = {}


def record_changes(
    changes: ChangeLog, followed: table.Rows, after: int, *, confirmed_at: float | None = None
) -> None:
    """Add the answer to a follow.

    :param changes: the log.
    :param followed: the answer.
    :param after: the version after which it was asked for.
    :param confirmed_at: when the store gave it, on the node's clock; ``None`` if another node did.
    """
    if confirmed_at is not None:
        changes.confirmed_at = confirmed_at
    if after > changes.version:
        # The changes up to there have reached this node on another way.
        changes.floor, changes.rows = after, {}
    newer = [row for row in followed.rows if row.version > changes.version]
    changes.rows.update({row.name.key: row for row in newer})
    changes.version = max(changes.version, after, followed.version)
    if len(changes.rows) > MAX_CHANGES:
        kept = sorted(changes.rows.values(), key=lambda row: row.version)[-MAX_CHANGES // 2 :]
        changes.rows = {row.name.key: row for row in kept}
        changes.floor = kept[0].version - 1
    if newer:
        changes.newest = max(row.version for row in newer)
        _wake(changes)


async def _follow_sources(
    relay: Relay,
    sources: collections.abc.Sequence[identity.Address],
    name: table.TableName,
    after: int,
    wait_s: float,
) -> table.Rows | None:
    """Return the answer of the first node that gives one, or ``None``."""
    for address in sources:
        asked_at = relay.now()
        if asked_at < relay.asked_again_at.get(address, asked_at):
            continue
        rows = await _poll(relay, address, name, after, min(wait_s, POLL_S))
        if rows is not None:
            relay.asked_again_at.pop(address, None)
            return rows
        relay.asked_again_at[address] = relay.now() + SOURCE_PAUSE_S
        decision.record(log, logging.INFO, "feed-unanswered", source=address, table=name)
        if relay.now() - asked_at > CONNECT_TIMEOUT_S:
            # The node is silent, and another one may be so too.
            return None
    return None


async def _poll(
    relay: Relay, address: identity.Address, name: table.TableName, after: int, wait_s: float
) -> table.Rows | None:
    """Return the changes that another node knows, or ``None`` if it gives no answer."""

    async def connect(target: str) -> trio.abc.Stream:
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            return await relay.connect(target)
        raise OSError("no connection in time")

    path = f"{FEED_PATH}{urllib.parse.quote(name, safe='')}/{after}/{round(wait_s * 1000)}"
    fetched = await http.fetch(
        connect,
        address,
        http.Request(method="GET", path=path),
        timeout_s=wait_s + POLL_SLACK_S,
        max_bytes=MAX_BYTES,
    )
    if not isinstance(fetched, result.Success) or fetched.unwrap().status != OK:
        return None
    rows = decode_answer(name, fetched.unwrap().body)
    if rows is not None and era.find_era(rows.version) < era.find_era(after):
        # The other node has not noticed yet that the store was restored.
        return None
    return rows


def decode_answer(name: table.TableName, body: bytes) -> table.Rows | None:
    """Return the changes in another node's answer, or ``None`` if it can't be decoded.

    :param name: the table.
    :param body: made by :func:`encode_changes`.
    """
    decoded = decoding.decode_compressed(body, Changes, max_bytes=MAX_BYTES)
    if not isinstance(decoded, result.Success):
        decision.record(log, logging.ERROR, "feed-unreadable", cause=decoded.failure())
        return None
    changes = decoded.unwrap()
    rows = tuple(decode_row(name, row) for row in changes.rows)
    return table.Rows(
        rows=rows,
        version=changes.version,
        clock=None,
        is_relayed=True,
        lead_s=changes.lead_s,
    )


def encode_row(row: table.Row) -> EncodedRow:
    """Return a row as it is sent to other nodes.

    :param row: the row.
    """
    return EncodedRow(
        key=row.name.key, version=row.version, is_removed=row.is_removed, value=row.value
    )


def decode_row(name: table.TableName, row: EncodedRow) -> table.Row:
    """Return a row that another node has sent.

    :param name: the table.
    :param row: the row.
    """
    return table.Row(
        name=table.Name(table=name, key=row.key),
        value=row.value,
        version=row.version,
        is_removed=row.is_removed,
    )


async def answer(relay: Relay, path: str) -> bytes | None:
    """Return the changes of a table as soon as there are any, or ``None`` if this node lacks them.

    :param relay: the state.
    :param path: the path of the poll.
    """
    received_at = relay.now()
    quoted, _, versions = path.removeprefix(FEED_PATH).partition("/")
    raw_after, _, raw_wait = versions.partition("/")
    after = decoding.read_count(raw_after.encode())
    wait_ms = decoding.read_count(raw_wait.encode())
    changes = relay.logs.get(table.TableName(urllib.parse.unquote(quoted)))
    if after is None or wait_ms is None or changes is None or not _is_fresh(relay, changes):
        return None
    if era.find_era(after) > era.find_era(changes.version):
        # This node lacks all changes since the store was restored.
        return None
    with trio.move_on_after(min(POLL_S, wait_ms / 1000)):
        while changes.newest <= after and _is_fresh(relay, changes):
            await changes.changed.wait()
    if after < changes.floor or not _is_fresh(relay, changes):
        return None
    return encode_changes(changes, after, changes.current_at - received_at)


def _is_fresh(relay: Relay, changes: ChangeLog) -> bool:
    """Return whether the store has lately answered this node itself, and not failed it since."""
    is_current = relay.now() - changes.confirmed_at < MAX_AGE_S
    return is_current and relay.answered_at >= relay.failed_at and not relay.is_stopping


def encode_changes(changes: ChangeLog, after: int, lead_s: float = -decoding.MAX_SECONDS) -> bytes:
    """Return the answer to a poll.

    :param changes: the log.
    :param after: the version that the other node has, not below the log's floor.
    :param lead_s: how many seconds after the poll the log was current, at least.
    """
    lead_s = max(-decoding.MAX_SECONDS, lead_s)
    lead_s = math.floor(lead_s / LEAD_STEP_S) * LEAD_STEP_S
    spans = (after, changes.version, lead_s)
    if changes.encoded is not None and changes.encoded[:3] == spans:
        return changes.encoded[3]
    rows = sorted(changes.rows.values(), key=lambda row: row.version)
    update = Changes(
        version=changes.version,
        rows=[encode_row(row) for row in rows if row.version > after],
        lead_s=lead_s,
    )
    encoded = zlib.compress(msgspec.msgpack.encode(update), level=1)
    changes.encoded = (*spans, encoded)
    return encoded


def stop(relay: Relay) -> None:
    """Refuse the polls of other nodes, also those that wait, because the process is about to end.

    :param relay: the state.
    """
    relay.is_stopping = True
    _wake_all(relay)

"""Publishes configurations: the head, the history, and the wait until a version is in force."""

import collections.abc
import dataclasses
import enum

import msgspec
from returns import result

from ebonyvalve.process import decoding, identity, platform, report, timer
from ebonyvalve.version import objects, plan

HEAD_KEY = "config/head"
LOG_PREFIX = "config/log/"
# With the pause, a store that is down for a few seconds does not leave the outcome unknown.
MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.5
# A heartbeat is due every 150 ms; asking more often shows nothing new.
PROGRESS_INTERVAL_S = 0.25
MAX_LISTED = 20


class Entry(msgspec.Struct, kw_only=True, frozen=True):
    """The head row and the rows of the history.

    ``at`` is UTC in ISO 8601. ``publication`` is drawn at random for each attempt to publish, so
    that its author recognises the entry although the reply was lost.
    """

    version: identity.ConfigVersion
    digest: str
    author: str
    note: str
    at: str
    publication: str


class State(enum.Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    # The write may yet take effect. Its author finds out from the history.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishRequest:
    """A request to publish the objects in ``body``, planned on version ``base``."""

    body: bytes
    base: identity.ConfigVersion
    author: str
    note: str
    at: str
    publication: str


class Published(msgspec.Struct, kw_only=True, frozen=True):
    """The outcome of a publication.

    ``other`` is the entry that a conflicting publication has written, and ``differences`` what it
    changed compared with the base and with the refused objects.
    """

    state: State
    version: identity.ConfigVersion
    cause: str
    other: Entry | None = None
    differences: list[str] = []


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The entry in force, and the row version that a conditional write must expect."""

    entry: Entry | None
    row_version: int


HeadResult = result.Result[Head, str]
FetchVersions = collections.abc.Callable[[], collections.abc.Awaitable[list[report.NodeVersion]]]
ReportProgress = collections.abc.Callable[[int, int, list[report.NodeVersion]], None]


def name_log_row(version: int) -> str:
    """Return the table key of a version's row in the history.

    :param version: the version.
    """
    return f"{LOG_PREFIX}{version}"


def find_version(head: Head) -> identity.ConfigVersion:
    """Return the configuration version in force, 0 for none.

    :param head: the head.
    """
    return head.entry.version if head.entry else identity.ConfigVersion(0)


async def read_head(table: platform.Table) -> HeadResult:
    """Return the entry in force, or why it cannot be read.

    :param table: the table.
    """
    return (await _read_entry(table, HEAD_KEY)).map(
        lambda found: Head(entry=found[0], row_version=found[1])
    )


async def read_version(
    table: platform.Table, version: identity.ConfigVersion
) -> result.Result[Entry | None, str]:
    """Return the entry of a version, ``None`` if there is no such version.

    :param table: the table.
    :param version: the version.
    """
    return (await _read_entry(table, name_log_row(version))).map(lambda found: found[0])


async def read_history(table: platform.Table) -> result.Result[list[Entry], str]:
    """Return every published entry, oldest first.

    :param table: the table.
    """
    rows = await table.scan(LOG_PREFIX)
    if not isinstance(rows, result.Success):
        return result.Failure(f"the history cannot be read: {rows.failure().value}")
    entries = []
    for key, row in rows.unwrap().items():
        parsed = _parse_entry(key, row.value)
        if not isinstance(parsed, result.Success):
            return result.Failure(parsed.failure())
        entries.append(parsed.unwrap())
    return result.Success(sorted(entries, key=lambda entry: entry.version))


async def read_objects(
    store: platform.ObjectStore, entry: Entry | None
) -> result.Result[objects.ObjectSet, str]:
    """Return the objects of an entry, or why they cannot be read.

    :param store: the object store.
    :param entry: the entry; ``None`` stands for no objects.
    """
    if entry is None:
        return result.Success(objects.ObjectSet(objects=[]))
    body = await store.get(entry.digest)
    if not isinstance(body, result.Success):
        cause = body.failure().value
        return result.Failure(f"the objects of version {entry.version} cannot be read: {cause}")
    if objects.digest_body(body.unwrap()) != entry.digest:
        return result.Failure(f"the objects of version {entry.version} do not match their digest")
    return objects.decode_body(body.unwrap())


async def publish(
    services: platform.Platform, request: PublishRequest, clock: timer.Timer
) -> Published:
    """Publish a checked set of objects with one conditional write.

    :param services: the platform.
    :param order: what to publish, and the version that it was planned on.
    :param clock: the timer that spaces repeated attempts.
    """
    head = await read_head(services.table)
    if not isinstance(head, result.Success):
        return _fail(request, f"nothing was published: {head.failure()}")
    found = head.unwrap()
    if find_version(found) != request.base:
        return await _explain_conflict(services, request, found.entry)
    entry = Entry(
        version=identity.ConfigVersion(request.base + 1),
        digest=objects.digest_body(request.body),
        author=request.author,
        note=request.note,
        at=request.at,
        publication=request.publication,
    )
    # The body goes first: a head without its body could not come into force anywhere.
    if not await _put_body(services.objects, entry.digest, request.body, clock):
        return _fail(request, "nothing was published: the object store does not answer")
    return await _commit_entry(services, request, entry, found.row_version, clock)


async def wait_in_force(
    *,
    version: identity.ConfigVersion,
    fetch: FetchVersions,
    progress: ReportProgress,
    clock: timer.Timer,
    within_s: float,
) -> list[report.NodeVersion]:
    """Wait until every node has a version in force, and return the nodes that lag.

    :param version: the version.
    :param fetch: returns the version in force at every node.
    :param progress: called with the number of nodes that have it, the number of nodes, and those
        that lag, whenever these change.
    :param clock: the timer.
    :param within_s: seconds after which the nodes that lag are returned.
    """
    end_at = timer.now(clock) + within_s
    shown: list[str] | None = None
    while True:
        nodes = await fetch()
        lagging = [node for node in nodes if node.version is None or node.version < version]
        names = [node.node for node in lagging]
        if names != shown:
            progress(len(nodes) - len(lagging), len(nodes), lagging)
            shown = list(names)
        if not lagging or timer.now(clock) >= end_at:
            return lagging
        await timer.wait_until(clock, min(timer.now(clock) + PROGRESS_INTERVAL_S, end_at))


def render_entry(entry: Entry) -> str:
    """Return an entry of the history as one line of text.

    :param entry: the entry.
    """
    return f"version {entry.version} at {entry.at} by {entry.author}: {entry.note or '(no note)'}"


async def _read_entry(
    table: platform.Table, key: str
) -> result.Result[tuple[Entry | None, int], str]:
    row = await table.read(key)
    if not isinstance(row, result.Success):
        return result.Failure(f"{key} cannot be read: the table service is {row.failure().value}")
    found = row.unwrap()
    if found.version == 0:
        return result.Success((None, 0))
    return _parse_entry(key, found.value).map(lambda entry: (entry, found.version))


def _parse_entry(key: str, value: bytes) -> result.Result[Entry, str]:
    return decoding.decode(value, Entry).alt(lambda fault: f"{key} holds no valid entry: {fault}")


def _fail(order: PublishRequest, cause: str) -> Published:
    return Published(state=State.UNAVAILABLE, version=order.base, cause=cause)


async def _put_body(
    store: platform.ObjectStore, digest: str, body: bytes, clock: timer.Timer
) -> bool:
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await timer.wait_until(clock, timer.now(clock) + RETRY_INTERVAL_S)
        # Writing a body again under its own digest changes nothing.
        if isinstance(await store.put(digest, body), result.Success):
            return True
    return False


async def _commit_entry(
    services: platform.Platform,
    order: PublishRequest,
    entry: Entry,
    row_version: int,
    clock: timer.Timer,
) -> Published:
    """Commit until the outcome is known.

    Every attempt expects the same row versions, so at most one of them takes effect, even if an
    earlier one arrives late. The row of the history is written together with the head and never
    again, so it tells whose publication took effect.
    """
    value = msgspec.json.encode(entry)
    log_key = name_log_row(entry.version)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await timer.wait_until(clock, timer.now(clock) + RETRY_INTERVAL_S)
        state = await services.table.commit(
            {HEAD_KEY: row_version, log_key: 0}, {HEAD_KEY: value, log_key: value}
        )
        if state is platform.CommitState.COMMITTED:
            return _accept(entry, "")
        written = await read_version(services.table, entry.version)
        if not isinstance(written, result.Success):
            continue
        other = written.unwrap()
        if other is not None and _is_same(other, entry):
            return _accept(entry, "; the reply was lost, and the entry was found in the history")
        if other is not None:
            return await _explain_conflict(services, order, other)
        if state is platform.CommitState.CONFLICT:
            cause = "refused: the head was changed outside the history; nothing was published"
            return Published(state=State.CONFLICT, version=order.base, cause=cause)
    cause = (
        f"it is not known whether version {entry.version} was published: the table service does "
        f"not answer; look for publication {entry.publication} in the history before trying again"
    )
    return Published(state=State.UNKNOWN, version=entry.version, cause=cause)


def _is_same(left: Entry, right: Entry) -> bool:
    return (left.publication, left.digest, left.author) == (
        right.publication,
        right.digest,
        right.author,
    )


def _accept(entry: Entry, remark: str) -> Published:
    return Published(
        state=State.ACCEPTED,
        version=entry.version,
        cause=f"version {entry.version} is published{remark}",
    )


async def _explain_conflict(
    services: platform.Platform, order: PublishRequest, other: Entry | None
) -> Published:
    if other is None:
        cause = f"refused: planned on version {order.base}, but no version is in force"
        return Published(state=State.CONFLICT, version=order.base, cause=cause)
    cause = (
        f"refused: planned on version {order.base}, but {other.author} published version "
        f"{other.version} at {other.at} ({other.note or 'no note'}); nothing of yours was "
        "published; merge the changes below and plan again"
    )
    return Published(
        state=State.CONFLICT,
        version=other.version,
        cause=cause,
        other=other,
        differences=await _list_differences(services, order, other),
    )


async def _list_differences(
    services: platform.Platform, order: PublishRequest, other: Entry
) -> list[str]:
    theirs = await read_objects(services.objects, other)
    mine = objects.decode_body(order.body)
    if not (isinstance(theirs, result.Success) and isinstance(mine, result.Success)):
        return ["what differs is not known: the objects cannot be read at present"]
    base = await _read_base(services, order.base)
    if base is None:
        changes = plan.diff_objects(mine.unwrap(), theirs.unwrap())
        return _shorten([f"in force, unlike yours: {plan.render_change(one)}" for one in changes])
    changes = plan.diff_objects(base, theirs.unwrap())
    own = {(one.kind, one.name) for one in plan.diff_objects(base, mine.unwrap())}
    lines = [
        f"{other.author}: {plan.render_change(one)}"
        + (" (you change it too)" if (one.kind, one.name) in own else "")
        for one in changes
    ]
    return _shorten(lines) or ["the objects in force are the same as those planned on"]


async def _read_base(
    services: platform.Platform, version: identity.ConfigVersion
) -> objects.ObjectSet | None:
    if version == 0:
        return objects.ObjectSet(objects=[])
    entry = await read_version(services.table, version)
    if not isinstance(entry, result.Success) or entry.unwrap() is None:
        return None
    return (await read_objects(services.objects, entry.unwrap())).value_or(None)


def _shorten(lines: list[str]) -> list[str]:
    if len(lines) <= MAX_LISTED:
        return lines
    return [*lines[:MAX_LISTED], f"and {len(lines) - MAX_LISTED} more changes"]

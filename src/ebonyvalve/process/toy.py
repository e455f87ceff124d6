"""A toy target that stores a value per key, for the demo and the tests."""

import collections
import collections.abc
import dataclasses
import enum
import functools
import json
import secrets

import defopt
import h11
import msgspec
from returns import result
import trio

from ebonyvalve.process import http, identity, network, target, timer

ANNOUNCE_PERIOD_S = 0.5


class ToyState(enum.Enum):
    """How the toy target behaves."""

    UP = "up"
    # Accepts connections and never answers.
    FROZEN = "frozen"
    # Closes every connection at once, like a crashed process.
    DOWN = "down"


@dataclasses.dataclass(kw_only=True)
class Run:
    """One execution of a request at the target. Times are in seconds on the target's clock.

    ``fence`` has the form ``SHARD:TOKEN``, as in the header; it is empty without the header.
    """

    node: identity.NodeId
    key: str
    method: str
    fence: str
    request_id: str
    path: str
    start_s: float
    end_s: float | None = None
    is_applied: bool = False


@dataclasses.dataclass(kw_only=True)
class Database:
    """The values and the numbers of writes by key, which targets of one service may share."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)


@dataclasses.dataclass(kw_only=True)
class Toy:
    """The state of one toy target.

    Each request occupies a slot for ``service_time_s`` seconds. A request whose path contains
    ``crash_on`` crashes the target. ``fences`` holds the highest fencing token seen for each shard,
    ``running`` the number of requests in progress and ``max_running`` its maximum. ``overloads``
    counts the requests that started while the target was beyond its capacity; see
    :func:`read_capacity`.
    """

    node: identity.NodeId
    clock: collections.abc.Callable[[], float] = trio.current_time
    slots: int = 10
    service_time_s: float = 0.001
    checks_fence: bool = True
    state: ToyState = ToyState.UP
    crash_on: str = "/crash"
    database: Database = dataclasses.field(default_factory=Database)
    fences: dict[str, int] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    running: int = 0
    max_running: int = 0
    # A cold target has a capacity of one request, which grows linearly to all slots in this time.
    warm_up_s: float = 0.0
    cold_since_s: float = float("-inf")
    overloads: int = 0
    # The latest grant end received from the node, in seconds on the clock that they share.
    grant_end_s: float = 0.0
    thawed: trio.Event = dataclasses.field(default_factory=trio.Event)


async def serve(toy: Toy, stream: trio.abc.Stream) -> None:
    """Serve one connection.

    :param toy: the target's state.
    :param stream: the accepted connection.
    """
    protocol = h11.Connection(h11.SERVER)
    try:
        while toy.state is not ToyState.DOWN and await _serve_request(toy, stream, protocol):
            protocol.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        pass
    finally:
        await trio.aclose_forcefully(stream)


def freeze(toy: Toy) -> None:
    """Make the target accept connections and requests without answering.

    :param toy: the target's state.
    """
    toy.state = ToyState.FROZEN
    toy.thawed = trio.Event()


def thaw(toy: Toy) -> None:
    """Make a frozen target resume the requests that it has received.

    :param toy: the target's state.
    """
    toy.state = ToyState.UP
    toy.thawed.set()


def make_cold(toy: Toy) -> None:
    """Make the target cold, as after a restart.

    :param toy: the target's state.
    """
    toy.cold_since_s = toy.clock()


def read_capacity(toy: Toy) -> int:
    """Return how many concurrent requests the target can run without overload.

    :param toy: the target's state.
    """
    age_s = toy.clock() - toy.cold_since_s
    if age_s >= toy.warm_up_s:
        return toy.slots
    return int(1 + (toy.slots - 1) * age_s / toy.warm_up_s)


async def _serve_request(toy: Toy, stream: trio.abc.Stream, protocol: h11.Connection) -> bool:
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            if protocol.they_are_waiting_for_100_continue:
                proceed = h11.InformationalResponse(status_code=100, headers=[])
                await stream.send_all(protocol.send(proceed) or b"")
            protocol.receive_data(bytes(await stream.receive_some(65_536)))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            return False
    if request is None or not await _wait_until_up(toy):
        return False
    answer = await _run_unless_cancelled(toy, request, bytes(body), stream)
    if isinstance(answer, result.Failure):
        return False
    status, headers, text = answer.unwrap()
    head = h11.Response(
        status_code=status, headers=[*headers, (b"content-length", str(len(text)).encode())]
    )
    parts: list[h11.Event] = [head, h11.EndOfMessage()]
    if request.method != b"HEAD":
        parts.insert(1, h11.Data(data=text))
    await stream.send_all(b"".join(protocol.send(part) or b"" for part in parts))
    return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE


async def _wait_until_up(toy: Toy) -> bool:
    if toy.state is ToyState.FROZEN:
        await toy.thawed.wait()
    return toy.state is ToyState.UP


# Status, headers and body.
Answer = tuple[int, list[tuple[bytes, bytes]], bytes]


async def _run_unless_cancelled(
    toy: Toy, request: h11.Request, body: bytes, stream: trio.abc.Stream
) -> result.Result[Answer, ToyState]:
    """Run a request until it ends, its deadline passes or the connection is closed."""
    headers = {name: value for name, value in request.headers}  # noqa: C416
    deadline_ms = int(headers.get(b"ebonyvalve-deadline-ms", b"60000"))
    answers: list[result.Result[Answer, ToyState]] = []
    with trio.move_on_after(deadline_ms / 1000):
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                # Callers of the toy target do not pipeline, so this returns only at the end of the
                # connection.
                await stream.receive_some(1)
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            answers.append(await _run(toy, request, body))
            nursery.cancel_scope.cancel()
    return answers[0] if answers else result.Failure(toy.state)


async def _run(toy: Toy, request: h11.Request, body: bytes) -> result.Result[Answer, ToyState]:
    headers = {name.decode(): value.decode() for name, value in request.headers}
    path = request.target.decode()
    grant_end_ms = int(headers.get("ebonyvalve-grant-until-ms", "0"))
    toy.grant_end_s = max(toy.grant_end_s, grant_end_ms / 1000)
    if path == "/health":
        return result.Success((200, [], b"{}"))
    if not _is_current(toy, headers.get("ebonyvalve-fence", "")):
        return result.Success(_refuse("stale-fence", headers))
    if toy.running >= toy.slots:
        return result.Success(_refuse("target-shed", headers))
    toy.running += 1
    toy.max_running = max(toy.max_running, toy.running)
    toy.overloads += toy.running > read_capacity(toy)
    try:
        run = _record(toy, request, path, headers)
        if toy.crash_on in path:
            toy.state = ToyState.DOWN
            return result.Failure(ToyState.DOWN)
        try:
            await trio.sleep(toy.service_time_s)
            if not await _wait_until_up(toy):
                return result.Failure(toy.state)
        finally:
            run.end_s = toy.clock()
        if not _is_current(toy, run.fence):
            return result.Success(_refuse("stale-fence", headers))
        run.is_applied = True
        return result.Success(_apply(toy, run, body))
    finally:
        toy.running -= 1


def _record(toy: Toy, request: h11.Request, path: str, headers: dict[str, str]) -> Run:
    run = Run(
        node=toy.node,
        key=_parse_key(path),
        method=request.method.decode(),
        fence=headers.get("ebonyvalve-fence", ""),
        request_id=headers.get("ebonyvalve-request-id", ""),
        path=path,
        start_s=toy.clock(),
    )
    toy.runs.append(run)
    return run


def _refuse(reason: str, request_headers: dict[str, str]) -> Answer:
    """Return a refusal that names its request, without which a node may not believe it."""
    request_id = request_headers.get("ebonyvalve-request-id", "")
    headers = [
        (b"ebonyvalve-outcome", b"not-run"),
        (b"ebonyvalve-reason", reason.encode()),
        (b"ebonyvalve-request-id", request_id.encode()),
    ]
    return 503, headers, reason.encode()


def _is_current(toy: Toy, header: str) -> bool:
    """Return whether a fencing token is valid: none higher was seen, and the grant is in force."""
    if not toy.checks_fence or not header:
        return True
    shard, _, number = header.rpartition(":")
    fence = int(number)
    if fence < toy.fences.get(shard, 0) or toy.clock() > toy.grant_end_s:
        return False
    toy.fences[shard] = fence
    return True


def _apply(toy: Toy, run: Run, body: bytes) -> Answer:
    key = run.key
    if run.method not in ("GET", "HEAD"):
        toy.database.values[key] = body.decode("utf-8", "replace")
        toy.database.counts[key] += 1
    text = json.dumps(
        {
            "key": key,
            "value": toy.database.values.get(key),
            "count": toy.database.counts[key],
            "request": run.request_id,
        }
    )
    return 200, [(b"content-type", b"application/json")], text.encode()


def _parse_key(path: str) -> str:
    return path.split("?")[0].split("/", 3)[2]


async def run(*, address: str, announce_address: str, node: str, slots: int) -> None:
    """Serve a toy target and announce it to its node periodically, until cancelled.

    :param address: where the target listens, ``IP:port``.
    :param announce_address: where the node takes announcements.
    :param node: name of the node.
    :param slots: requests that the target runs at once.
    """
    toy = Toy(node=identity.NodeId(node), slots=slots, clock=timer.read_boot_clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.listen_tcp, address, functools.partial(serve, toy))
        entry = target.Announcement(
            address=identity.Address(address),
            incarnation=identity.Incarnation(secrets.token_hex(8)),
            slots=slots,
            is_cold=False,
        )
        request = http.Request(method="PUT", path="/announce", body=msgspec.json.encode(entry))
        while True:
            # Repeated, because the node may restart at any time and does not store announcements.
            await http.fetch(network.connect_tcp, announce_address, request, timeout_s=1.0)
            await trio.sleep(ANNOUNCE_PERIOD_S)


def main(*, address: str, announce_address: str, node: str, slots: int = 6) -> None:
    """Run a toy target.

    :param address: where the target listens, ``IP:port``.
    :param announce_address: where the node takes announcements.
    :param node: name of the node.
    :param slots: requests that the target runs at once.
    """
    trio.run(
        functools.partial(
            run, address=address, announce_address=announce_address, node=node, slots=slots
        )
    )


if __name__ == "__main__":
    defopt.run(main)

"""Monitors the local target: takes its announcements, and probes it when replies stop."""

import collections.abc
import dataclasses
import functools
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import (
    decision,
    decoding,
    http,
    identity,
    limit,
    network,
    site,
    target,
    timer,
)

log = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.05
HEALTH_PATH = "/health"
# The body of a probe's answer is read but not used; only the status counts.
MAX_PROBE_BYTES = 65_536
MAX_ANNOUNCEMENT_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True)
class Monitor:
    """Dependencies of the monitor.

    ``drop_idle`` closes the idle connections to the address of a replaced target.
    """

    here: site.Site
    timer: timer.Timer
    connect: network.Connect
    drop_idle: collections.abc.Callable[[identity.Address], collections.abc.Awaitable[None]]


async def run(monitor: Monitor) -> None:
    """Probe the target whenever a probe is due, until cancelled.

    :param monitor: the monitor's dependencies.
    """
    here = monitor.here
    while True:
        await _wait_for_next_check(monitor)
        now_s = here.now()
        if not target.is_probe_due(here.target, here.in_flight[here.node], now_s):
            continue
        fetched = await _probe(monitor)
        is_answered = isinstance(fetched, result.Success) and fetched.unwrap().status == 200
        if target.record_probe(here.target, is_answered, here.now()):
            # On the same VM a refused connection proves a crash. A target that answers late, or
            # reports that it is not well, may go on with its requests.
            if fetched == result.Failure(http.HttpFailure.UNREACHABLE):
                site.record_crash(here, here.now())
            _apply_state_change(here)


async def _wait_for_next_check(monitor: Monitor) -> None:
    """Wait for the next check, which is due every :data:`CHECK_PERIOD_S` seconds.

    While the target is idle and up, it is due after :data:`target.IDLE_PROBE_S` seconds, or as soon
    as a request starts.
    """
    here = monitor.here
    is_idle = here.in_flight[here.node] == 0 and target.is_up(here.target)
    if not is_idle or here.target.failed_probes:
        await timer.wait_until(monitor.timer, here.now() + CHECK_PERIOD_S)
        return
    with trio.move_on_after(target.IDLE_PROBE_S):
        await here.started.wait()


def build_server(monitor: Monitor) -> network.Serve:
    """Return the server that receives the announcements of targets.

    :param monitor: the monitor's dependencies.
    """
    return functools.partial(
        http.serve, functools.partial(respond, monitor), max_bytes=MAX_ANNOUNCEMENT_BYTES
    )


async def respond(monitor: Monitor, request: http.Request) -> http.Reply:
    """Answer the announcement of a target.

    :param monitor: the monitor's dependencies.
    :param request: ``PUT /announce`` with a :class:`target.Announcement` in JSON.
    """
    if (request.method, request.path) != ("PUT", "/announce"):
        return http.Reply(status=404, body=b'{"error": "use PUT /announce"}')
    decoded = read_announcement(request.body)
    if not isinstance(decoded, result.Success):
        return http.Reply(status=400, body=msgspec.json.encode({"error": decoded.failure()}))
    await take_announcement(monitor, decoded.unwrap())
    return http.Reply(status=200, body=b"{}")


def read_announcement(body: bytes) -> result.Result[target.Announcement, str]:
    """Decode an announcement; return it, or a text that says why it is invalid.

    :param body: the announcement in JSON.
    """

    def find_fault(entry: target.Announcement) -> str:
        if decoding.is_address(entry.address):
            return ""
        return f"address {entry.address!r} is not host:port"

    return decoding.decode(body, target.Announcement, find_fault)


async def take_announcement(monitor: Monitor, entry: target.Announcement) -> None:
    """Apply an announcement to the node's state.

    :param monitor: the monitor's dependencies.
    :param entry: the announcement.
    """
    here = monitor.here
    previous = here.target.address
    was_up = target.is_up(here.target)
    if target.announce(here.target, entry, here.now()):
        # The previous target ended with the requests that it ran, even if no connection broke.
        site.record_crash(here, here.now())
        if previous is not None:
            await monitor.drop_idle(previous)
        here.admission.slots = here.target.slots
        limit.enter_slow_start(here.admission)
    elif not was_up:
        limit.enter_slow_start(here.admission)
    limit.record_report(here.admission, is_cold=entry.is_cold)
    _apply_state_change(here)


async def _probe(monitor: Monitor) -> result.Result[http.Reply, http.HttpFailure]:
    address = monitor.here.target.address
    if address is None:
        return result.Failure(http.HttpFailure.UNREACHABLE)
    # The probe carries the grant end, so that a request that takes longer than a lease can still be
    # applied.
    grant_header = ("ebonyvalve-grant-until-ms", str(site.update_grant_end_ms(monitor.here)))
    request = http.Request(method="GET", path=HEALTH_PATH, headers=(grant_header,))
    return await http.fetch(
        monitor.connect,
        address,
        request,
        timeout_s=target.PROBE_TIMEOUT_S,
        max_bytes=MAX_PROBE_BYTES,
    )


def _apply_state_change(here: site.Site) -> None:
    now_s = here.now()
    if target.is_up(here.target):
        if here.admission.is_paused:
            limit.enter_slow_start(here.admission)
        site.wake_admitted(here, limit.resume(here.admission, now_s))
    else:
        limit.pause(here.admission)
        site.cancel_flights(here)
    decision.record(
        log,
        logging.INFO,
        "target-state",
        target=here.target.address,
        state=here.target.state,
        reason=here.target.reason,
    )
    site.notify(here)

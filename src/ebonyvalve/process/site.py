"""What a node knows and remembers for the requests that it serves."""

import collections
import collections.abc
import dataclasses
import random

import trio

from ebonyvalve.process import (
    accounting,
    budget,
    identity,
    lease,
    limit,
    quarantine,
    straggler,
    target,
    token_memory,
)


@dataclasses.dataclass(kw_only=True)
class Flight:
    """A request that the local target runs."""

    shard: identity.ShardId
    fingerprint: identity.Fingerprint
    scope: trio.CancelScope


@dataclasses.dataclass(kw_only=True)
class Site:
    """State of one node, shared by its requests.

    ``changed`` is set, and replaced, whenever ownership, members or the target's state change.
    ``flights`` holds the requests at the local target, ``lost`` those whose connection to it broke
    recently, with the time. ``admitted`` wakes the requests that wait for admission.
    """

    node: identity.NodeId
    zone: identity.ZoneId
    incarnation: identity.Incarnation
    now: collections.abc.Callable[[], float]
    read_node: collections.abc.Callable[[], lease.Node]
    random: random.Random
    target: target.Target
    admission: limit.Target
    account: accounting.Account
    books: dict[identity.ServiceId, straggler.ServiceLatencies] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(straggler.ServiceLatencies)
    )
    in_flight: collections.Counter[identity.NodeId] = dataclasses.field(
        default_factory=collections.Counter
    )
    retries: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.RETRY_SHARE)
    )
    hedges: budget.Budget = dataclasses.field(
        default_factory=lambda: budget.Budget(share=budget.HEDGE_SHARE)
    )
    quarantined: quarantine.Quarantine = dataclasses.field(default_factory=quarantine.Quarantine)
    quota: token_memory.Quota = dataclasses.field(default_factory=token_memory.Quota)
    memories: dict[identity.ShardId, token_memory.Memory] = dataclasses.field(default_factory=dict)
    flights: dict[identity.ShardId, list[Flight]] = dataclasses.field(default_factory=dict)
    lost: list[tuple[float, identity.Fingerprint]] = dataclasses.field(default_factory=list)
    # Until when the target has been told that it may serve, in seconds.
    told_until_s: float = 0.0
    # By shard, until when a request whose connection ended without an answer may still run.
    doubts: dict[identity.ShardId, float] = dataclasses.field(default_factory=dict)
    admitted: dict[limit.Ticket, trio.Event] = dataclasses.field(default_factory=dict)
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    landed: trio.Event = dataclasses.field(default_factory=trio.Event)
    # Set, and replaced, when the first of several requests starts at the local target.
    started: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_stopping: bool = False
    # Since when a drain order takes this node out of service, in seconds.
    drained_since_s: float | None = None


# A target that crashed announces its new incarnation within a few seconds of its restart.
LOST_MEMORY_S = 5.0
# A drained zone gets no new work after 3 s, even if its shards cannot move because the store is
# down or slow; up to 0.5 s pass before a node has the configuration.
DRAIN_LIMIT_S = 2.5


def is_drained(site: Site) -> bool:
    """Return whether the node has been drained for so long that it takes no new work.

    :param site: the node's state.
    """
    since_s = site.drained_since_s
    return since_s is not None and site.now() - since_s > DRAIN_LIMIT_S


def notify(site: Site) -> None:
    """Wake the requests that wait for a change.

    :param site: the node's state.
    """
    site.changed.set()
    site.changed = trio.Event()


def find_memory(
    site: Site, shard: identity.ShardId, fence: identity.Fence, *, life_s: float
) -> token_memory.Memory:
    """Return the token memory of a shard, made when first needed.

    :param site: the node's state.
    :param shard: the shard.
    :param fence: the fencing token under which the node holds it.
    :param life_s: seconds for which a token is valid.
    """
    found = site.memories.get(shard)
    if found is None or found.is_closed or found.fence != fence:
        if found is not None and not found.is_closed:
            token_memory.drop(found)
        found = token_memory.create(shard=shard, fence=fence, life_s=life_s, quota=site.quota)
        site.memories[shard] = found
    return found


def begin_flight(site: Site, shard: identity.ShardId, fingerprint: identity.Fingerprint) -> Flight:
    """Note that the local target starts a request.

    :param site: the node's state.
    :param shard: the shard under which it runs.
    :param fingerprint: of the request.
    """
    flight = Flight(shard=shard, fingerprint=fingerprint, scope=trio.CancelScope())
    site.flights.setdefault(shard, []).append(flight)
    if site.in_flight[site.node] == 0:
        site.started.set()
        site.started = trio.Event()
    site.in_flight[site.node] += 1
    return flight


def end_flight(site: Site, flight: Flight) -> None:
    """Note that a request has ended at the local target.

    :param site: the node's state.
    :param flight: from :func:`begin_flight`.
    """
    flights = site.flights[flight.shard]
    flights.remove(flight)
    site.in_flight[site.node] -= 1
    if not flights:
        del site.flights[flight.shard]
        site.landed.set()
        site.landed = trio.Event()


async def wait_landed(site: Site, shards: collections.abc.Collection[identity.ShardId]) -> None:
    """Return when no request of the shards runs at the local target.

    :param site: the node's state.
    :param shards: shards for which no new request starts.
    """
    while any(shard in site.flights for shard in shards):
        await site.landed.wait()


def cancel_flights(
    site: Site, shards: collections.abc.Collection[identity.ShardId] | None = None
) -> int:
    """Cancel requests at the local target and return how many.

    :param site: the node's state.
    :param shards: the shards concerned; ``None`` for all.
    """
    chosen = [
        flight
        for shard, flights in site.flights.items()
        if shards is None or shard in shards
        for flight in flights
    ]
    for flight in chosen:
        flight.scope.cancel()
    return len(chosen)


def note_crash(site: Site, now_s: float) -> int:
    """Quarantine what the local target ran when it died; return the number of requests.

    :param site: the node's state.
    :param now_s: the time in seconds.
    """
    prints = [flight.fingerprint for flights in site.flights.values() for flight in flights]
    prints += [name for at_s, name in site.lost if now_s - at_s <= LOST_MEMORY_S]
    site.lost.clear()
    quarantine.record_crash(site.quarantined, prints, now_s)
    return len(prints)


def note_lost(site: Site, fingerprint: identity.Fingerprint, now_s: float) -> None:
    """Note a request whose connection to the local target broke.

    :param site: the node's state.
    :param fingerprint: of the request.
    :param now_s: the time in seconds.
    """
    site.lost = [entry for entry in site.lost if now_s - entry[0] <= LOST_MEMORY_S]
    site.lost.append((now_s, fingerprint))


def wake_admitted(site: Site, woken: limit.Dequeued) -> None:
    """Wake the requests that admission lets run, or refuses.

    :param site: the node's state.
    :param woken: from :mod:`limit`.
    """
    for ticket in (*woken.run, *woken.expired):
        event = site.admitted.pop(ticket, None)
        if event is not None:
            event.set()


def tell_grant_end_ms(here: Site) -> int:
    """Return until when the target may serve, in milliseconds on the clock of its VM, and note it.

    Node and target share the clock. A target that checks grants neither starts nor applies a
    request after this time, so that a node that was paused between its own check and the sending
    of a request does no harm. The time is also bounded by the first request that the target has
    not answered: a target that froze may run what it has received when it thaws, and its shards
    can move only when it can no longer do so.

    :param here: the node's state; a request or probe is sent next.
    """
    now_s = here.now()
    if here.in_flight[here.node] <= 1:
        # Requests that were given up are no sign of silence once nothing else is in flight.
        here.target.asked_s = here.target.last_reply_s
    asked_s = target.record_ask(here.target, now_s)
    end_s = min(here.read_node().lease_end_s, asked_s + lease.LEASE_S)
    here.told_until_s = max(here.told_until_s, end_s)
    # Before the first lease its end is minus infinity.
    return int(max(end_s, 0.0) * 1000)


def note_doubt(here: Site, shard: identity.ShardId, until_s: float) -> None:
    """Note that the target may run a request of a shard although its connection has ended.

    :param here: the node's state.
    :param shard: the shard.
    :param until_s: when it runs no more, by its deadline or by the end of the grant.
    """
    here.doubts[shard] = max(here.doubts.get(shard, until_s), until_s)

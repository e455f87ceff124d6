"""Exchanges allowance with other nodes, and lets requests wait for it."""

import collections.abc
import dataclasses
import functools
import itertools
import logging

import msgspec
from returns import result
import trio

from ebonyvalve.process import decision, decoding, identity, member, timer
from ebonyvalve.process import node as node_module
from ebonyvalve.process.quota import lender, limits, messages, ranking, roles, state, view
from ebonyvalve.process.store import table

log = logging.getLogger(__name__)

QUOTA_PATH = "/ebonyvalve/quota/"
ASK_PATH = QUOTA_PATH + "ask"
CONFIRM_PATH = QUOTA_PATH + "confirm"
# A lender that has not answered by then is as good as lost to the callers that wait.
ASK_TIMEOUT_S = 0.3
# Another lender is asked if the first one has not answered for this long.
HEDGE_S = 0.06
CHECK_INTERVAL_S = 0.5
# Longest wait for changes of the members, so that lenders know how current theirs are.
FOLLOW_S = 1.5

# Sends a message to an address with a path, a body and a time limit in seconds; returns the body of
# the answer, or None.
Send = collections.abc.Callable[
    [identity.Address, str, bytes, float], collections.abc.Awaitable[bytes | None]
]


@dataclasses.dataclass(kw_only=True)
class Waiter:
    """A request that waits for the answer of a lender."""

    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    is_admitted: bool = False


@dataclasses.dataclass(kw_only=True)
class Exchange:
    """The quotas of the node and those who wait for them.

    ``nursery`` runs the messages while accounts with limits exist. ``changed`` is set and replaced
    when the limits change.
    """

    node: node_module.Node
    quota: state.Quota
    send: Send
    members: view.View = dataclasses.field(default_factory=view.View)
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    ids: collections.abc.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    nursery: trio.Nursery | None = None
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)


def build(node: node_module.Node, send: Send) -> Exchange:
    """Return the exchange of a node, without any limits.

    :param node: the node.
    :param send: sends a message to another node.
    """
    quota = state.Quota(
        me=node.place.node, bounds=node.place.quotas, counts=node.request_counters.quotas
    )
    return Exchange(node=node, quota=quota, send=send)


def set_limits(
    exchange: Exchange, known: collections.abc.Mapping[identity.AccountId, limits.Limit]
) -> None:
    """Apply the limits of the configuration in force.

    :param exchange: the state.
    :param known: the limits by account; accounts without one are missing.
    """
    had_limits = bool(exchange.quota.account_limits)
    state.set_limits(exchange.quota, known, exchange.node.now())
    exchange.changed.set()
    exchange.changed = trio.Event()
    if bool(known) is not had_limits:
        # A pending follow of the members may last longer than it should now.
        node_module.restart_mesh_follow(exchange.node)


def find_follow_s(exchange: Exchange, usual_s: float) -> float:
    """Return the longest wait for changes of the members in one call.

    :param exchange: the state.
    :param usual_s: the wait where no account has a limit.
    """
    return FOLLOW_S if exchange.quota.account_limits else usual_s


def record_rows(
    exchange: Exchange, prefix: str, read: table.Rows, current_at: float, is_whole: bool
) -> None:
    """Apply the members that were read.

    :param exchange: the state.
    :param prefix: of the keys of members' rows.
    :param read: rows that are complete up to their version.
    :param current_at: when they were current, at least, in seconds on the node's clock.
    :param is_whole: whether these are all rows of the table.
    """
    before = set(exchange.members.zones)
    if view.apply(exchange.members, read, prefix, is_whole=is_whole):
        # A store that was restored from a copy may lack the rows of nodes that go on lending.
        is_doubtful = is_whole and not before <= set(exchange.members.zones)
        _apply_members(exchange, current_at, is_doubtful=is_doubtful)


def _apply_members(exchange: Exchange, current_at: float, *, is_doubtful: bool = False) -> None:
    state.set_members(
        exchange.quota,
        _list_zones(exchange),
        current_at=current_at,
        now=exchange.node.now(),
        is_doubtful=is_doubtful,
    )


def _list_zones(exchange: Exchange) -> ranking.Zones:
    """Return the members without this node if its target is gone.

    Another node lends in its place as soon as it has read the row.
    """
    if not _is_leaving(exchange.node):
        return exchange.members.zones
    me = exchange.node.place.node
    return {name: zone for name, zone in exchange.members.zones.items() if name != me}


def _is_leaving(node: node_module.Node) -> bool:
    """Return whether this node's row says that its target is gone, or is about to."""
    announced = node_module.build_member(node)
    return announced is not None and announced.state is member.TargetState.GONE


def _check_own_row(exchange: Exchange) -> None:
    """Stop lending at once when the target beside this node is gone."""
    quota = exchange.quota
    is_member = quota.me in exchange.members.zones and not _is_leaving(exchange.node)
    if is_member is not (quota.me in quota.ranks.zones):
        _apply_members(exchange, quota.knowledge.current_at)


async def admit(exchange: Exchange, name: identity.AccountId, max_wait_s: float) -> float | None:
    """Admit a request of an account; return ``None``, or after how many seconds to try again.

    :param exchange: the state.
    :param name: the account.
    :param max_wait_s: how many seconds the request may wait for allowance.
    """
    quota, node = exchange.quota, exchange.node
    if name not in quota.account_limits:
        return None
    _check_own_row(exchange)
    number = next(exchange.ids)
    arrival, asks = state.arrive(quota, name, number, node.now())
    if arrival is state.Arrival.WAITING:
        waiter = exchange.waiters[number] = Waiter()
        _start(exchange, asks)
        arrival = await _wait(exchange, name, number, waiter, max_wait_s)
    else:
        _start(exchange, asks)
    if arrival is state.Arrival.ADMITTED:
        return None
    return state.find_retry_after(quota, name, node.now(), node.draw())


async def _wait(
    exchange: Exchange,
    name: identity.AccountId,
    number: int,
    waiter: Waiter,
    max_wait_s: float,
) -> state.Arrival:
    """Wait for the answer of a lender, and of another one if the first one does not answer."""
    quota, node = exchange.quota, exchange.node
    try:
        with trio.move_on_after(min(HEDGE_S, max_wait_s)):
            await waiter.decided.wait()
        if not waiter.decided.is_set():
            _start(exchange, state.repeat(quota, name, node.now()))
            with trio.move_on_after(max(0.0, max_wait_s - HEDGE_S)):
                await waiter.decided.wait()
        if not waiter.decided.is_set():
            return state.give_up(quota, name, number, node.now())
    finally:
        del exchange.waiters[number]
        state.withdraw(quota, name, number)
    return state.Arrival.ADMITTED if waiter.is_admitted else state.Arrival.REFUSED


def _start(exchange: Exchange, asks: state.Asks) -> None:
    for other, ask in asks:
        if exchange.nursery is None:
            _receive(exchange, other, ask, None)
        else:
            exchange.nursery.start_soon(_ask, exchange, other, ask)


async def _ask(exchange: Exchange, other: identity.NodeId, ask: lender.Ask) -> None:
    """Ask a lender for allowance."""
    node = exchange.node
    message = messages.AskMessage(ask=ask, seen=node.operator_version)
    body = await _send(exchange, other, ASK_PATH, msgspec.json.encode(message))
    grant: lender.Grant | None = None
    if body is not None:
        decoded = decoding.decode(body, messages.GrantMessage)
        if isinstance(decoded, result.Success):
            answer = decoded.unwrap()
            grant = answer.grant
            node_module.record_advertised(node, answer.seen, other)
        else:
            _record_unreadable(other, decoded.failure())
    _receive(exchange, other, ask, grant)


async def _send(exchange: Exchange, other: identity.NodeId, path: str, body: bytes) -> bytes | None:
    recipient = exchange.node.members.get(other)
    if recipient is None:
        return None
    return await exchange.send(recipient.address, path, body, ASK_TIMEOUT_S)


def _record_unreadable(other: identity.NodeId | None, cause: str) -> None:
    decision.record(log, logging.ERROR, "quota-unreadable", peer=other, cause=cause)


def _receive(
    exchange: Exchange, other: identity.NodeId, ask: lender.Ask, grant: lender.Grant | None
) -> None:
    """Record the answer of a lender, and wake those whom it decides."""
    admitted, refused, asks = state.receive(
        exchange.quota, ask.account, other, ask, grant, exchange.node.now()
    )
    for number in (*admitted, *refused):
        waiter = exchange.waiters.get(number)
        if waiter is not None:
            waiter.is_admitted = number in admitted
            waiter.decided.set()
    _start(exchange, asks)


def answer(exchange: Exchange, path: str, body: bytes) -> bytes | None:
    """Return the answer to a message of another node, or ``None`` if it is invalid.

    :param exchange: the state.
    :param path: the path of the message.
    :param body: the message.
    """
    if path == ASK_PATH:
        return _answer_ask(exchange, body)
    if path == CONFIRM_PATH:
        return _answer_claims(exchange, body)
    return None


def _answer_ask(exchange: Exchange, body: bytes) -> bytes | None:
    node = exchange.node
    decoded = decoding.decode(body, messages.AskMessage)
    if not isinstance(decoded, result.Success):
        _record_unreadable(None, decoded.failure())
        return None
    message = decoded.unwrap()
    node_module.record_advertised(node, message.seen, message.ask.borrower)
    _check_own_row(exchange)
    grant = state.answer(exchange.quota, message.ask, node.now())
    seen = node.operator_version
    return msgspec.json.encode(messages.GrantMessage(grant=grant, seen=seen))


def _answer_claims(exchange: Exchange, body: bytes) -> bytes | None:
    decoded = decoding.decode(body, messages.ClaimMessage)
    if not isinstance(decoded, result.Success):
        _record_unreadable(None, decoded.failure())
        return None
    _check_own_row(exchange)
    now = exchange.node.now()
    confirmations = state.confirm(exchange.quota, decoded.unwrap().lenders, now)
    answer = messages.ConfirmMessage(
        confirmed={
            name: messages.Confirmed(
                steady_s=confirmation.steady_s,
                held_s=confirmation.held_s,
                is_young=confirmation.is_young,
            )
            for name, confirmation in confirmations.items()
        },
        mesh_age_s=state.find_mesh_age(exchange.quota, now),
    )
    return msgspec.json.encode(answer)


async def run(exchange: Exchange) -> None:
    """Exchange messages while accounts with limits exist, until cancelled.

    :param exchange: the state.
    """
    while True:
        changed = exchange.changed
        if not exchange.quota.account_limits:
            await changed.wait()
            continue
        try:
            async with trio.open_nursery() as nursery:
                exchange.nursery = nursery
                await _check(exchange, nursery)
                nursery.cancel_scope.cancel()
        finally:
            exchange.nursery = None


async def _check(exchange: Exchange, nursery: trio.Nursery) -> None:
    """Have the lenders confirmed where that is needed, while accounts with limits exist."""
    quota, node = exchange.quota, exchange.node
    ticks = timer.subscribe(node.wakeups, period_s=CHECK_INTERVAL_S)
    while quota.account_limits:
        quota.bounds = node.place.quotas
        _check_own_row(exchange)
        for other, claims in state.list_claims(quota, node.now()).items():
            nursery.start_soon(functools.partial(_claim, exchange, other, claims))
        begun, ended = state.update_lending(quota, node.now())
        if begun or ended:
            decision.record(
                log,
                logging.INFO,
                "quota-lending",
                accounts=len(quota.was_lending),
                begun=len(begun),
                ended=len(ended),
                members_age_s=round(node.now() - quota.knowledge.current_at, 1),
            )
        await timer.tick(node.wakeups, ticks)


async def _claim(exchange: Exchange, other: identity.NodeId, claims: state.Claims) -> None:
    """Ask another lender to confirm the lenders that this node knows."""
    node = exchange.node
    sent_at = node.now()
    message = messages.ClaimMessage(lenders=claims)
    body = await _send(exchange, other, CONFIRM_PATH, msgspec.json.encode(message))
    if body is None:
        return
    decoded = decoding.decode(body, messages.ConfirmMessage)
    if not isinstance(decoded, result.Success):
        _record_unreadable(other, decoded.failure())
        return
    answer = decoded.unwrap()
    confirmations = {
        name: roles.Confirmation(
            steady_s=confirmed.steady_s, held_s=confirmed.held_s, is_young=confirmed.is_young
        )
        for name, confirmed in answer.confirmed.items()
    }
    state.record_confirmations(
        exchange.quota,
        other,
        claims,
        confirmations,
        mesh_age_s=answer.mesh_age_s,
        sent_at=sent_at,
        now=node.now(),
    )

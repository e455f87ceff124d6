"""The quotas of one node: the limits in force, what it lends, and what it has borrowed."""

import collections
import collections.abc
import dataclasses
import enum
import zlib

from ebonyvalve.process import identity
from ebonyvalve.process.quota import borrower, lender, limits, ranking, roles

# Requests for confirmation by lender, and the lenders of each account that it is asked to confirm.
Claims = dict[identity.AccountId, tuple[identity.NodeId, ...]]
Confirmations = dict[identity.AccountId, roles.Confirmation]


# The age of the mesh is taken from answers that came within this time; see roles.CLOCK_MARGIN_S.
MAX_ANSWER_S = 0.5


class Event(enum.Enum):
    """What is counted, by account; the names are those of the metric's label."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    EMERGENCY = "emergency"
    ASKED = "asked"
    UNANSWERED = "unanswered"
    LENT = "lent"


class Arrival(enum.Enum):
    """What becomes of a request on its arrival."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    WAITING = "waiting"


Asks = list[tuple[identity.NodeId, lender.Ask]]


@dataclasses.dataclass(kw_only=True)
class Quota:
    """The quotas of a node, as long as the process lives.

    ``account_limits`` are those of the configuration in force; accounts without one are not listed.
    ``was_lending`` has the accounts of which the node lent when this was last checked.
    """

    me: identity.NodeId
    bounds: limits.Bounds
    account_limits: dict[identity.AccountId, limits.Limit] = dataclasses.field(default_factory=dict)
    ranks: ranking.Ranking = dataclasses.field(default_factory=ranking.Ranking)
    knowledge: roles.Knowledge = dataclasses.field(default_factory=roles.Knowledge)
    desks: dict[identity.AccountId, lender.Desk] = dataclasses.field(default_factory=dict)
    accounts: dict[identity.AccountId, borrower.Account] = dataclasses.field(default_factory=dict)
    emergencies: dict[identity.AccountId, borrower.Emergency] = dataclasses.field(
        default_factory=dict
    )
    was_lending: frozenset[identity.AccountId] = frozenset()
    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def set_limits(
    quota: Quota,
    known: collections.abc.Mapping[identity.AccountId, limits.Limit],
    now: float,
) -> None:
    """Apply the limits of a configuration.

    :param quota: the state.
    :param known: the limits by account.
    :param now: seconds on the node's clock.
    """
    quota.account_limits = dict(known)
    for mapping in (quota.desks, quota.accounts, quota.emergencies):
        for name in [name for name in mapping if name not in quota.account_limits]:
            del mapping[name]
    for key in [key for key in quota.counts if key[0] not in quota.account_limits]:
        del quota.counts[key]
    _update_lenders(quota, quota.ranks.zones, now)


def set_members(
    quota: Quota,
    zones: ranking.Zones,
    *,
    current_at: float,
    now: float,
    is_doubtful: bool = False,
) -> None:
    """Apply the members as of an answer of the store.

    :param quota: the state.
    :param zones: the zone of each member.
    :param current_at: when the members were current, at least.
    :param now: seconds on the node's clock.
    :param is_doubtful: whether members are missing that may not have removed their rows themselves.
    """
    known = quota.ranks.zones
    is_missed = roles.record_members(
        quota.knowledge,
        current_at=current_at,
        has_changed=zones != known,
        has_joined=any(known.get(name) != zone for name, zone in zones.items()),
        is_empty=not zones,
        now=now,
    )
    if is_doubtful:
        quota.knowledge.complete_since = now
    _update_lenders(quota, zones, now)
    if is_missed:
        for desk in quota.desks.values():
            roles.restart(desk.role, quota.me, now)


def _update_lenders(quota: Quota, zones: ranking.Zones, now: float) -> None:
    for name in ranking.update(quota.ranks, zones, quota.account_limits):
        lenders = quota.ranks.lenders.get(name)
        if lenders is None:
            continue
        desk = quota.desks.setdefault(name, lender.Desk())
        roles.update_lenders(desk.role, quota.me, lenders, zones, quota.knowledge, now)


def answer(quota: Quota, ask: lender.Ask, now: float) -> lender.Grant:
    """Answer a borrower's request for allowance.

    :param quota: the state.
    :param ask: the request.
    :param now: seconds on the node's clock.
    """
    limit = quota.account_limits.get(ask.account)
    desk = quota.desks.get(ask.account)
    if limit is None or desk is None:
        return lender.NOT_LENDING
    grant = lender.answer(desk, quota.me, limit, quota.bounds, quota.knowledge, ask, now)
    quota.counts[ask.account, Event.LENT.value] += grant.count
    return grant


def list_claims(quota: Quota, now: float) -> dict[identity.NodeId, Claims]:
    """Return the lenders to be confirmed now, by the node that is to confirm them.

    :param quota: the state.
    :param now: seconds on the node's clock.
    """
    claims: dict[identity.NodeId, Claims] = {}
    for name, desk in quota.desks.items():
        for other in roles.list_to_ask(desk.role, quota.me, quota.knowledge, now):
            claims.setdefault(other, {})[name] = desk.role.lenders
    return claims


def confirm(quota: Quota, claims: Claims, now: float) -> Confirmations:
    """Return this node's confirmations of the claimed lenders, where it knows the same ones.

    :param quota: the state.
    :param claims: the lenders that another node knows.
    :param now: seconds on the node's clock.
    """
    confirmations: Confirmations = {}
    for name, lenders in claims.items():
        desk = quota.desks.get(name)
        if desk is not None:
            confirmation = roles.confirm(desk.role, lenders, quota.knowledge, now)
            if confirmation is not None:
                confirmations[name] = confirmation
    return confirmations


def find_mesh_age(quota: Quota, now: float) -> float | None:
    """Return how many seconds ago the mesh had no members, if it is known to be young.

    :param quota: the state.
    :param now: seconds on the node's clock.
    """
    is_young = roles.is_young(quota.knowledge, now)
    return max(0.0, now - quota.knowledge.born_at) if is_young else None


def record_confirmations(
    quota: Quota,
    other: identity.NodeId,
    claims: Claims,
    confirmations: Confirmations,
    *,
    mesh_age_s: float | None,
    sent_at: float,
    now: float,
) -> None:
    """Record the answer to claims.

    :param quota: the state.
    :param other: the node that has answered.
    :param claims: what it was asked to confirm.
    :param confirmations: what it has confirmed.
    :param mesh_age_s: how many seconds ago the mesh had no members, if the other node knows that.
    :param sent_at: when it was asked, in seconds on this node's clock.
    :param now: seconds on this node's clock.
    """
    # A later answer would make the mesh seem younger than it is.
    if mesh_age_s is not None and now - sent_at <= MAX_ANSWER_S:
        roles.record_birth(quota.knowledge, mesh_age_s, now)
    for name, confirmation in confirmations.items():
        desk = quota.desks.get(name)
        if desk is not None and name in claims:
            roles.record_confirmation(
                desk.role,
                quota.me,
                other,
                claims[name],
                confirmation,
                quota.knowledge,
                sent_at=sent_at,
                now=now,
            )


def arrive(
    quota: Quota, name: identity.AccountId, request: int, now: float
) -> tuple[Arrival, Asks]:
    """Decide on a request of an account with a limit.

    :param quota: the state.
    :param name: the account.
    :param request: identifies the request if it has to wait.
    :param now: seconds on the node's clock.
    :return: the decision, and the lenders to ask.
    """
    account = quota.accounts.get(name)
    if account is None:
        account = quota.accounts[name] = borrower.open_account(now)
    borrower.record_arrival(account, now)
    if not account.waiting and borrower.spend(account, now):
        quota.counts[name, Event.ADMITTED.value] += 1
        return Arrival.ADMITTED, _ask(quota, name, account, now)
    account.waiting.append(request)
    asks = _ask(quota, name, account, now)
    if request in borrower.take_admitted(account, now):
        # This node is a lender itself.
        quota.counts[name, Event.ADMITTED.value] += 1
        return Arrival.ADMITTED, asks
    if account.pending:
        return Arrival.WAITING, asks
    account.waiting.remove(request)
    return _conclude(quota, name, account, now), asks


def _ask(quota: Quota, name: identity.AccountId, account: borrower.Account, now: float) -> Asks:
    """Return the other nodes to ask now; this node's own allowance is borrowed at once."""
    remote: Asks = []
    while True:
        asks = borrower.plan(
            account,
            quota.me,
            name,
            list_lenders(quota, name),
            quota.account_limits[name],
            quota.bounds,
            now,
        )
        remote.extend((other, ask) for other, ask in asks if other != quota.me)
        own = [ask for other, ask in asks if other == quota.me]
        if not own:
            quota.counts[name, Event.ASKED.value] += len(remote)
            return remote
        for ask in own:
            borrower.receive(account, quota.me, ask, answer(quota, ask, now), now)


def list_lenders(quota: Quota, name: identity.AccountId) -> tuple[identity.NodeId, ...]:
    """Return the lenders of an account in the order in which this node asks them.

    It asks itself first; the nodes begin with different ones otherwise.

    :param quota: the state.
    :param name: the account.
    """
    lenders = quota.ranks.lenders.get(name, ())
    if not lenders:
        return ()
    if quota.me in lenders:
        start = lenders.index(quota.me)
    else:
        start = zlib.crc32(f"{quota.me}/{name}".encode()) % len(lenders)
    return lenders[start:] + lenders[:start]


def receive(
    quota: Quota,
    name: identity.AccountId,
    other: identity.NodeId,
    ask: lender.Ask,
    grant: lender.Grant | None,
    now: float,
) -> tuple[list[int], list[int], Asks]:
    """Record the answer to a request for allowance, or that there was none.

    :param quota: the state.
    :param name: the account.
    :param other: the lender.
    :param ask: the request.
    :param grant: the answer, or ``None``.
    :param now: seconds on the node's clock.
    :return: the waiting requests that are admitted, those that are refused, and the lenders to ask.
    """
    account = quota.accounts.get(name)
    if account is None or name not in quota.account_limits:
        return [], [], []
    if grant is None:
        quota.counts[name, Event.UNANSWERED.value] += 1
    borrower.receive(account, other, ask, grant, now)
    admitted = borrower.take_admitted(account, now)
    asks = _ask(quota, name, account, now) if account.waiting else []
    admitted += borrower.take_admitted(account, now)
    quota.counts[name, Event.ADMITTED.value] += len(admitted)
    refused: list[int] = []
    while account.waiting and not account.pending:
        request = account.waiting.popleft()
        is_admitted = _conclude(quota, name, account, now) is Arrival.ADMITTED
        (admitted if is_admitted else refused).append(request)
    return admitted, refused, asks


def repeat(quota: Quota, name: identity.AccountId, now: float) -> Asks:
    """Return the lenders to ask instead of those that have not answered for some time.

    :param quota: the state.
    :param name: the account.
    :param now: seconds on the node's clock.
    """
    account = quota.accounts.get(name)
    if account is None or name not in quota.account_limits or not account.waiting:
        return []
    return _ask(quota, name, account, now)


def give_up(quota: Quota, name: identity.AccountId, request: int, now: float) -> Arrival:
    """Decide on a request that can't wait any longer.

    :param quota: the state.
    :param name: the account.
    :param request: the request.
    :param now: seconds on the node's clock.
    """
    account = quota.accounts.get(name)
    if account is None or name not in quota.account_limits:
        return Arrival.ADMITTED
    if request in account.waiting:
        account.waiting.remove(request)
    return _conclude(quota, name, account, now)


def withdraw(quota: Quota, name: identity.AccountId, request: int) -> None:
    """Forget a waiting request whose caller has left.

    :param quota: the state.
    :param name: the account.
    :param request: the request.
    """
    account = quota.accounts.get(name)
    if account is not None and request in account.waiting:
        account.waiting.remove(request)


def _conclude(
    quota: Quota, name: identity.AccountId, account: borrower.Account, now: float
) -> Arrival:
    """Decide on a request for which there is no allowance and no lender to wait for."""
    if borrower.is_unreachable(account, now) and _admit_emergency(quota, name, now):
        quota.counts[name, Event.EMERGENCY.value] += 1
        return Arrival.ADMITTED
    quota.counts[name, Event.REFUSED.value] += 1
    return Arrival.REFUSED


def _admit_emergency(quota: Quota, name: identity.AccountId, now: float) -> bool:
    emergency = quota.emergencies.setdefault(name, borrower.Emergency())
    # Computed when it is needed, and again after the members have changed.
    if emergency.zones is not quota.ranks.zones:
        emergency.zones = quota.ranks.zones
        emergency.count = borrower.find_emergency_share(
            quota.me, ranking.rank(name, quota.ranks.zones), quota.bounds
        )
    return borrower.admit_emergency(emergency, quota.bounds, now)


def find_retry_after(quota: Quota, name: identity.AccountId, now: float, draw: float) -> float:
    """Return after how many seconds a refused caller should return.

    :param quota: the state.
    :param name: the account.
    :param now: seconds on the node's clock.
    :param draw: a random number from 0 to 1.
    """
    account = quota.accounts.get(name)
    limit = quota.account_limits.get(name)
    if account is None or limit is None:
        return borrower.MIN_RETRY_AFTER_S
    return borrower.promise(account, list_lenders(quota, name), limit, now, draw)


def update_lending(
    quota: Quota, now: float
) -> tuple[frozenset[identity.AccountId], frozenset[identity.AccountId]]:
    """Return the accounts for which the node has begun to lend since the last call, and ceased to.

    :param quota: the state.
    :param now: seconds on the node's clock.
    """
    lending = frozenset(
        name
        for name, desk in quota.desks.items()
        if roles.may_lend(desk.role, quota.me, quota.knowledge, now)
    )
    begun, ended = lending - quota.was_lending, quota.was_lending - lending
    quota.was_lending = lending
    return begun, ended

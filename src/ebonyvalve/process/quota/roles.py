"""Whether this node may lend an account's allowance: at most three nodes do so at any moment.

The lenders follow from the members that the store names. A node whose members are out of date may
take itself for a lender although another one has replaced it, so it stops when they are too old,
and a node that becomes a lender waits until then. A node whose row was removed needs no such wait:
it has removed the row itself, after it had stopped, or its machine has ended for good and another
one has its address.
"""

import collections.abc
import dataclasses

from ebonyvalve.process import identity

# A lender whose members are older than this lends only if the other lenders confirm it.
CURRENT_S = 7.0
# Not even then if they are older than this. It outlasts the store's absence for 10 s.
EXTENDED_S = 18.0
# A confirmation of another lender counts for this long.
CONFIRMATION_S = 4.0
# Confirmations are renewed this often, and requested this long before they are needed. A node that
# follows the store through another one has members of up to 5 s ago.
CONFIRM_INTERVAL_S = 2.0
CONFIRM_LEAD_S = 1.2
# Clocks of two nodes may run at different rates; 1 s in 20 s is far more than they do.
CLOCK_MARGIN_S = 1.0
# A node lends this long after it has become a lender in place of one that may not know it yet: if
# the other lenders have confirmed it, and if not.
WAIT_S = CURRENT_S + CLOCK_MARGIN_S
LONG_WAIT_S = EXTENDED_S + CLOCK_MARGIN_S
# Where nobody can have lent before, because the mesh has just begun, a node that becomes a lender
# this soon after need not wait if the others confirm it. Until the last lender that has missed its
# entry has stopped, all lenders need confirmations.
FOUNDING_S = WAIT_S
YOUNG_S = FOUNDING_S + WAIT_S


@dataclasses.dataclass(kw_only=True)
class Knowledge:
    """How current the members are that a node knows. Times are seconds on its clock.

    They were current at ``current_at`` at least. Since ``complete_since``, no change has been
    missed, and ``joined_at`` is when the last member was added. The mesh had no members at
    ``born_at``, if that is known.
    """

    current_at: float = float("-inf")
    joined_at: float = float("-inf")
    born_at: float = float("-inf")
    complete_since: float = float("inf")


@dataclasses.dataclass(kw_only=True)
class LenderRole:
    """What a node knows of the lenders of an account.

    ``since`` is when these became the lenders, and ``entered_at`` when this node became one of
    them. ``former`` maps members that were lenders to when they were replaced. ``confirmed`` maps
    the other lenders to when the last request was sent that they confirmed. ``entry_confirmed`` are
    those that have confirmed the entry, and ``all_confirmed_at`` is when all of them had.
    ``released`` maps those that know the mesh to be young to when their confirmations of earlier
    lenders end, and ``founded_at`` is the last such time if all of them have said so. This node's
    confirmations last until ``promised_until``, and those of earlier lenders until ``held_until``.
    ``is_vacant`` means that the node has taken the place of one that had stopped. Times are seconds
    on the node's clock.
    """

    lenders: tuple[identity.NodeId, ...] = ()
    since: float = float("-inf")
    entered_at: float = float("inf")
    is_vacant: bool = False
    former: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    confirmed: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    entry_confirmed: set[identity.NodeId] = dataclasses.field(default_factory=set)
    all_confirmed_at: float = float("inf")
    released: dict[identity.NodeId, float] = dataclasses.field(default_factory=dict)
    founded_at: float = float("inf")
    promised_until: float = float("-inf")
    held_until: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """The answer of another lender that knows the same lenders, and has for ``steady_s`` seconds.

    Its confirmations of earlier lenders last for ``held_s`` seconds more. ``is_young`` says whether
    it knows that the mesh has just begun.
    """

    steady_s: float
    held_s: float
    is_young: bool


def update_lenders(
    role: LenderRole,
    me: identity.NodeId,
    lenders: tuple[identity.NodeId, ...],
    members: collections.abc.Container[identity.NodeId],
    knowledge: Knowledge,
    now: float,
) -> None:
    """Record which nodes lend.

    :param role: the state.
    :param me: this node.
    :param lenders: the lenders as of the known members.
    :param members: the known members.
    :param knowledge: how current they are.
    :param now: seconds on the node's clock.
    """
    was_lender = me in role.lenders
    # The earlier lenders of a new account are unknown, but they follow from the earlier members.
    is_history_known = bool(role.lenders) or now - knowledge.joined_at > LONG_WAIT_S
    for name in role.lenders:
        if name not in lenders:
            role.former[name] = now
    for name, replaced_at in list(role.former.items()):
        if name in lenders or name not in members or now - replaced_at > LONG_WAIT_S:
            del role.former[name]
    if lenders != role.lenders:
        role.lenders, role.since = lenders, now
        role.held_until = max(role.held_until, role.promised_until)
        role.confirmed.clear()
        role.entry_confirmed.clear()
        role.released.clear()
    if me not in lenders:
        role.entered_at = float("inf")
    elif not was_lender:
        _enter(role, now)
        is_complete = now - knowledge.complete_since > LONG_WAIT_S
        role.is_vacant = is_complete and is_history_known and not role.former


def restart(role: LenderRole, me: identity.NodeId, now: float) -> None:
    """Wait again before lending, because changes of the members may have been missed.

    :param role: the state.
    :param me: this node.
    :param now: seconds on the node's clock.
    """
    role.since = now
    role.former.clear()
    role.confirmed.clear()
    if me in role.lenders:
        _enter(role, now)


def _enter(role: LenderRole, now: float) -> None:
    role.entered_at = now
    role.is_vacant = False
    is_alone = len(role.lenders) == 1
    role.all_confirmed_at = role.founded_at = now if is_alone else float("inf")
    role.released.clear()
    role.confirmed.clear()
    role.entry_confirmed.clear()


def is_young(knowledge: Knowledge, now: float) -> bool:
    """Return whether the mesh is known to have begun so lately that all lenders are new.

    :param knowledge: how current the known members are.
    :param now: seconds on the node's clock.
    """
    return now - knowledge.born_at < YOUNG_S


def find_ready_time(role: LenderRole, knowledge: Knowledge) -> float:
    """Return when this node may begin to lend, or infinity if it is no lender.

    A lender that confirms this node's entry confirms no earlier lenders from then on, and its
    earlier confirmations have expired after ``CONFIRMATION_S``.

    :param role: the state.
    :param knowledge: how current the known members are.
    """
    if role.is_vacant:
        return role.entered_at
    confirmed_at = max(role.entered_at + WAIT_S, role.all_confirmed_at + CONFIRMATION_S)
    is_founder = role.entered_at - knowledge.born_at < FOUNDING_S
    founded_at = role.founded_at if is_founder else float("inf")
    return min(role.entered_at + LONG_WAIT_S, confirmed_at, founded_at)


def may_lend(role: LenderRole, me: identity.NodeId, knowledge: Knowledge, now: float) -> bool:
    """Return whether this node may lend now.

    :param role: the state.
    :param me: this node.
    :param knowledge: how current the known members are.
    :param now: seconds on the node's clock.
    """
    if me not in role.lenders or now < find_ready_time(role, knowledge):
        return False
    age_s = now - knowledge.current_at
    if age_s <= CURRENT_S and not is_young(knowledge, now):
        return True
    return age_s <= EXTENDED_S and all(
        now - role.confirmed.get(name, float("-inf")) <= CONFIRMATION_S
        for name in role.lenders
        if name != me
    )


def list_to_ask(
    role: LenderRole, me: identity.NodeId, knowledge: Knowledge, now: float
) -> list[identity.NodeId]:
    """Return the other lenders whose confirmation is needed now.

    :param role: the state.
    :param me: this node.
    :param knowledge: how current the known members are.
    :param now: seconds on the node's clock.
    """
    if me not in role.lenders:
        return []
    age_s = now - knowledge.current_at
    others = [name for name in role.lenders if name != me]
    is_old = CURRENT_S - CONFIRM_LEAD_S < age_s <= EXTENDED_S
    if is_old or is_young(knowledge, now):
        fresh_since = now - CONFIRMATION_S + CONFIRM_INTERVAL_S
        return [name for name in others if role.confirmed.get(name, float("-inf")) <= fresh_since]
    is_starting = not role.is_vacant and now < role.entered_at + LONG_WAIT_S
    if is_starting and role.all_confirmed_at == float("inf"):
        return [name for name in others if name not in role.entry_confirmed]
    return []


def confirm(
    role: LenderRole, lenders: tuple[identity.NodeId, ...], knowledge: Knowledge, now: float
) -> Confirmation | None:
    """Confirm the lenders that another node knows, or return ``None``.

    :param role: the state.
    :param lenders: the lenders that the other node knows.
    :param knowledge: how current the known members are.
    :param now: seconds on the node's clock.
    """
    if lenders != role.lenders:
        return None
    # A lender that does not know that the mesh has just begun needs no confirmations later.
    lasts_s = CONFIRMATION_S if is_young(knowledge, now) else LONG_WAIT_S
    role.promised_until = max(role.promised_until, now + lasts_s)
    return Confirmation(
        steady_s=now - role.since,
        held_s=max(0.0, role.held_until - now),
        is_young=is_young(knowledge, now),
    )


def record_confirmation(
    role: LenderRole,
    me: identity.NodeId,
    name: identity.NodeId,
    lenders: tuple[identity.NodeId, ...],
    confirmation: Confirmation,
    knowledge: Knowledge,
    *,
    sent_at: float,
    now: float,
) -> None:
    """Record that another lender knows the same lenders.

    :param role: the state.
    :param me: this node.
    :param name: the other lender.
    :param lenders: the lenders that were confirmed.
    :param confirmation: the answer.
    :param knowledge: how current the known members are.
    :param sent_at: when the request was sent, in seconds on this node's clock.
    :param now: seconds on this node's clock.
    """
    if lenders != role.lenders or name not in lenders or sent_at < role.since:
        return
    role.entry_confirmed.add(name)
    if all(other in role.entry_confirmed for other in lenders if other != me):
        role.all_confirmed_at = min(role.all_confirmed_at, now)
    if confirmation.is_young:
        role.released[name] = now + confirmation.held_s
    if all(other in role.released for other in lenders if other != me):
        role.founded_at = min(role.founded_at, max(role.released.values()))
    # Otherwise, the lenders may have changed in between, and back again.
    if is_young(knowledge, now) or now - confirmation.steady_s <= knowledge.current_at:
        role.confirmed[name] = sent_at


def record_members(
    knowledge: Knowledge,
    *,
    current_at: float,
    has_changed: bool,
    has_joined: bool,
    is_empty: bool,
    now: float,
) -> bool:
    """Record an answer of the store; return whether changes may have been missed before it.

    :param knowledge: the state.
    :param current_at: when the members were current that the answer gives, at least.
    :param has_changed: whether the members differ from those known before.
    :param has_joined: whether there are members that were not known before.
    :param is_empty: whether there are no members.
    :param now: seconds on the node's clock.
    """
    is_first = knowledge.current_at == float("-inf")
    is_missed = is_first or (current_at - knowledge.current_at > CURRENT_S and has_changed)
    if is_missed:
        knowledge.complete_since = now
    if is_first and is_empty:
        knowledge.born_at = current_at
    if has_joined:
        knowledge.joined_at = now
    knowledge.current_at = max(knowledge.current_at, current_at)
    return is_missed


def record_birth(knowledge: Knowledge, age_s: float, now: float) -> None:
    """Record that another node has known the mesh without members.

    :param knowledge: the state.
    :param age_s: how many seconds ago that was.
    :param now: seconds on the node's clock.
    """
    knowledge.born_at = max(knowledge.born_at, now - age_s)

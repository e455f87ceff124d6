"""The lenders of an account: a rendezvous hash of the members, in different zones if possible."""

import collections.abc
import dataclasses
import hashlib

from ebonyvalve.process import identity
from ebonyvalve.process.quota import limits

Zones = collections.abc.Mapping[identity.NodeId, identity.ZoneId]


@dataclasses.dataclass(kw_only=True)
class Ranking:
    """The lenders of the accounts, as of the members in ``zones``."""

    zones: dict[identity.NodeId, identity.ZoneId] = dataclasses.field(default_factory=dict)
    lenders: dict[identity.AccountId, tuple[identity.NodeId, ...]] = dataclasses.field(
        default_factory=dict
    )


def score(account: identity.AccountId, node: identity.NodeId) -> int:
    """Return the rank of a node for an account; the highest ones lend.

    :param account: the account.
    :param node: the node.
    """
    digest = hashlib.blake2b(f"{account}/{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(account: identity.AccountId, zones: Zones) -> list[identity.NodeId]:
    """Return the members by their rank for an account, the highest first.

    :param account: the account.
    :param zones: the zone of each member.
    """
    return sorted(zones, key=lambda name: (score(account, name), name), reverse=True)


def choose(account: identity.AccountId, zones: Zones) -> tuple[identity.NodeId, ...]:
    """Return the lenders of an account, the one with the highest score first.

    The first choice are nodes of different zones: a zone that is lost or cut off has only one of
    them then.

    :param account: the account.
    :param zones: the zone of each member.
    """
    ranked = rank(account, zones)
    chosen: list[identity.NodeId] = []
    seen: set[identity.ZoneId] = set()
    for name in ranked:
        if zones[name] not in seen:
            seen.add(zones[name])
            chosen.append(name)
            if len(chosen) == limits.LENDERS:
                return tuple(chosen)
    chosen.extend([name for name in ranked if name not in chosen][: limits.LENDERS - len(chosen)])
    return tuple(chosen)


def update(
    ranking: Ranking, zones: Zones, accounts: collections.abc.Iterable[identity.AccountId]
) -> list[identity.AccountId]:
    """Choose the lenders anew where the members have changed; return the affected accounts.

    Only accounts for which a lender was lost, or a new member might be one, are ranked again.

    :param ranking: the state.
    :param zones: the zone of each member.
    :param accounts: the accounts with a limit.
    """
    before = ranking.zones
    gone = {name for name, zone in before.items() if zones.get(name) != zone}
    added = [name for name, zone in zones.items() if before.get(name) != zone]
    if gone or added:
        ranking.zones = dict(zones)
    wanted = set(accounts)
    affected: list[identity.AccountId] = []
    for account in [account for account in ranking.lenders if account not in wanted]:
        del ranking.lenders[account]
        affected.append(account)
    for account in wanted:
        known = ranking.lenders.get(account)
        if known is not None and not _may_change(account, known, zones, gone, added):
            continue
        chosen = choose(account, zones)
        if chosen != known:
            ranking.lenders[account] = chosen
            affected.append(account)
    return affected


def _may_change(
    account: identity.AccountId,
    known: tuple[identity.NodeId, ...],
    zones: Zones,
    gone: set[identity.NodeId],
    added: list[identity.NodeId],
) -> bool:
    if not gone.isdisjoint(known):
        return True
    if len({zones[name] for name in known}) < limits.LENDERS:
        # A node of another zone replaces a lender that shares its zone, whatever its score.
        return bool(added)
    lowest = min(score(account, name) for name in known)
    return any(score(account, name) > lowest for name in added)

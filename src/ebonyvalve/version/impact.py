"""What an evacuation or other weights would do to keys and targets, said before it happens."""

import collections
import collections.abc
import dataclasses

from ebonyvalve.process import identity, survey
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.version import traffic

# Targets that are offered more than this much of what they can do refuse some of it.
FULL_LOAD = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prediction:
    """Lines about what would change, and reasons not to do it."""

    changes: list[str]
    reasons: list[str]


def predict_evacuation(node_survey: survey.Survey, zone: identity.ZoneId) -> Prediction:
    """Return what an evacuation would do.

    :param seen: what a node believes now.
    :param zone: the zone whose targets would get nothing.
    """
    outlook = Prediction(changes=[], reasons=[])
    if all(peer.member.zone != zone for peer in node_survey.peers):
        outlook.reasons.append(f"zone {zone}: no target is known there")
    if zone in node_survey.evacuated:
        outlook.reasons.append(f"zone {zone}: is evacuated already")
    open_ = [peer for peer in node_survey.peers if survey.is_open(node_survey, peer)]
    for service in sorted({peer.member.service for peer in open_}):
        present = [peer for peer in open_ if peer.member.service == service]
        leaving = [peer for peer in present if peer.member.zone == zone]
        if leaving:
            staying = [peer for peer in present if peer.member.zone != zone]
            _foresee_service(node_survey, service, leaving, staying, outlook)
    return outlook


def predict_split(
    node_survey: survey.Survey, before: traffic.TrafficConfig, after: traffic.TrafficConfig
) -> Prediction:
    """Return what other weights of services would do to their targets.

    :param seen: what a node believes now.
    :param before: the configuration in force.
    :param after: the one that would replace it.
    """
    outlook = Prediction(changes=[], reasons=[])
    counts = collections.Counter(
        peer.member.service for peer in node_survey.peers if survey.is_open(node_survey, peer)
    )
    for route in after.routes:
        old = traffic.find_matching_route(before, route)
        was = {} if old is None else traffic.compute_fractions(old)
        will = traffic.compute_fractions(route)
        for service in sorted(was.keys() | will.keys()):
            change = will.get(service, 0.0) - was.get(service, 0.0)
            if not change:
                continue
            count = counts[service]
            place = f"{route.host}{route.prefix}"
            if count:
                outlook.changes.append(
                    f"service {service}: {100 * change:+.0f}% of the requests of {place}, "
                    f"{100 * change / count:+.1f}% for each of its {count} targets"
                )
            elif change > 0:
                outlook.reasons.append(
                    f"service {service}: has no target for its part of the requests of {place}"
                )
    return outlook


def _foresee_service(
    seen: survey.Survey,
    service: identity.ServiceId,
    leaving: list[survey.Peer],
    staying: list[survey.Peer],
    outlook: Prediction,
) -> None:
    kind = "keys" if service in seen.keyed else "requests"
    slots = sum(peer.member.slots for peer in staying)
    if not slots:
        outlook.reasons.append(f"service {service}: no target would be left for its {kind}")
        return
    offered = sum(peer.offered * peer.member.slots for peer in (*leaving, *staying)) / slots
    outlook.changes.append(
        f"service {service}: {len(leaving)} of {len(leaving) + len(staying)} targets get nothing; "
        f"the others are offered {offered:.2f} of what they can do"
    )
    if offered > FULL_LOAD:
        outlook.reasons.append(
            f"service {service}: that is more than its other targets can do ({offered:.2f})"
        )
    if service in seen.ledgers and service in seen.keyed:
        outlook.changes.extend(_foresee_keys(seen.ledgers[service], service, leaving, staying))
        return
    # Requests without keys go where there is room, in proportion to slots.
    moved = sum(peer.offered * peer.member.slots for peer in leaving) / slots
    for peer in staying:
        outlook.changes.append(
            f"target {peer.member.lifetime} ({peer.member.node}): load {peer.offered:.2f} -> "
            f"{peer.offered + moved:.2f}"
        )


def _foresee_keys(
    book: ledger.Ledger,
    service: identity.ServiceId,
    leaving: list[survey.Peer],
    staying: list[survey.Peer],
) -> collections.abc.Iterator[str]:
    candidates = [
        ledger.Candidate(
            node=peer.member.node, lifetime=peer.member.lifetime, weight=peer.member.slots
        )
        for peer in staying
    ]
    after = book
    for peer in leaving:
        after = ledger.plan_exit(after, peer.member.lifetime, candidates)
    gained: collections.Counter[str] = collections.Counter()
    for span in after.spans:
        if span.successor and ledger.find_span(book, span.first).successor != span.successor:
            gained[span.successor] += span.last - span.first + 1
            yield (
                f"service {service}: keys {span.first} to {span.last} from {span.node} "
                f"to {span.successor_node}"
            )
    for peer in staying:
        held = ledger.list_held(book, peer.member.lifetime)
        count = sum(span.last - span.first + 1 for span in held)
        yield (
            f"target {peer.member.lifetime} ({peer.member.node}): {count} keys -> "
            f"{count + gained[peer.member.lifetime]}"
        )

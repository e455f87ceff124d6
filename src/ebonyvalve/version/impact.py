"""Predicts the effect of an evacuation or of changed service weights on keys and targets."""

import collections
import collections.abc
import dataclasses

from ebonyvalve.process import identity, survey
from ebonyvalve.process.keyspace import ledger
from ebonyvalve.version import traffic

# Targets whose offered load, as a fraction of their capacity, exceeds this refuse some requests.
FULL_LOAD = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prediction:
    """Lines that describe the changes, and the reasons against them."""

    changes: list[str]
    reasons: list[str]


def predict_evacuation(node_survey: survey.Survey, zone: identity.ZoneId) -> Prediction:
    """Predict the effect of the evacuation of a zone.

    :param node_survey: the present state of the mesh as one node sees it.
    :param zone: the zone whose targets would receive no more requests.
    """
    prediction = Prediction(changes=[], reasons=[])
    if all(peer.member.zone != zone for peer in node_survey.peers):
        prediction.reasons.append(f"zone {zone}: no target is known there")
    if zone in node_survey.evacuated:
        prediction.reasons.append(f"zone {zone}: is evacuated already")
    open_peers = [peer for peer in node_survey.peers if survey.is_open(node_survey, peer)]
    for service in sorted({peer.member.service for peer in open_peers}):
        present = [peer for peer in open_peers if peer.member.service == service]
        leaving = [peer for peer in present if peer.member.zone == zone]
        if leaving:
            staying = [peer for peer in present if peer.member.zone != zone]
            _predict_service(node_survey, service, leaving, staying, prediction)
    return prediction


def predict_split(
    node_survey: survey.Survey, before: traffic.TrafficConfig, after: traffic.TrafficConfig
) -> Prediction:
    """Predict the effect of changed service weights on the targets of the services.

    :param node_survey: the present state of the mesh as one node sees it.
    :param before: the configuration in force.
    :param after: the configuration that would replace it.
    """
    prediction = Prediction(changes=[], reasons=[])
    counts = collections.Counter(
        peer.member.service for peer in node_survey.peers if survey.is_open(node_survey, peer)
    )
    for route in after.routes:
        old_route = traffic.find_matching_route(before, route)
        old_fractions = {} if old_route is None else traffic.compute_fractions(old_route)
        new_fractions = traffic.compute_fractions(route)
        for service in sorted(old_fractions.keys() | new_fractions.keys()):
            change = new_fractions.get(service, 0.0) - old_fractions.get(service, 0.0)
            if not change:
                continue
            count = counts[service]
            location = f"{route.host}{route.prefix}"
            if count:
                prediction.changes.append(
                    f"service {service}: {100 * change:+.0f}% of the requests of {location}, "
                    f"{100 * change / count:+.1f}% for each of its {count} targets"
                )
            elif change > 0:
                prediction.reasons.append(
                    f"service {service}: has no target for its part of the requests of {location}"
                )
    return prediction


def _predict_service(
    node_survey: survey.Survey,
    service: identity.ServiceId,
    leaving: list[survey.Peer],
    staying: list[survey.Peer],
    prediction: Prediction,
) -> None:
    kind = "keys" if service in node_survey.keyed else "requests"
    slots = sum(peer.member.slots for peer in staying)
    if not slots:
        prediction.reasons.append(f"service {service}: no target would be left for its {kind}")
        return
    offered = sum(peer.offered * peer.member.slots for peer in (*leaving, *staying)) / slots
    prediction.changes.append(
        f"service {service}: {len(leaving)} of {len(leaving) + len(staying)} targets get nothing; "
        f"the others are offered {offered:.2f} of what they can do"
    )
    if offered > FULL_LOAD:
        prediction.reasons.append(
            f"service {service}: that is more than its other targets can do ({offered:.2f})"
        )
    if service in node_survey.ledgers and service in node_survey.keyed:
        prediction.changes.extend(
            _predict_keys(node_survey.ledgers[service], service, leaving, staying)
        )
        return
    # Requests without keys are distributed over the remaining targets in proportion to their slots.
    moved = sum(peer.offered * peer.member.slots for peer in leaving) / slots
    for peer in staying:
        prediction.changes.append(
            f"target {peer.member.lifetime} ({peer.member.node}): load {peer.offered:.2f} -> "
            f"{peer.offered + moved:.2f}"
        )


def _predict_keys(
    before: ledger.Ledger,
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
    after = before
    for peer in leaving:
        after = ledger.plan_exit(after, peer.member.lifetime, candidates)
    gained_keys: collections.Counter[str] = collections.Counter()
    for span in after.spans:
        if span.successor and ledger.find_span(before, span.first).successor != span.successor:
            gained_keys[span.successor] += span.last - span.first + 1
            yield (
                f"service {service}: keys {span.first} to {span.last} from {span.node} "
                f"to {span.successor_node}"
            )
    for peer in staying:
        owned_spans = ledger.list_held(before, peer.member.lifetime)
        count = sum(span.last - span.first + 1 for span in owned_spans)
        yield (
            f"target {peer.member.lifetime} ({peer.member.node}): {count} keys -> "
            f"{count + gained_keys[peer.member.lifetime]}"
        )

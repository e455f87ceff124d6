"""Hedged requests: a second attempt at another target when the first one is slow."""

import collections.abc
import dataclasses

import trio

from ebonyvalve.process import budget, identity, message, site, straggler
from ebonyvalve.request import exchange, retry, routing
from ebonyvalve.version import objects

RunAttempt = collections.abc.Callable[..., collections.abc.Awaitable[exchange.Completion]]


@dataclasses.dataclass(kw_only=True)
class Race:
    """The state of a hedged request.

    ``winner`` is the number of the attempt whose reply is passed on. ``decided`` is set when there
    is a winner or an attempt has ended.
    """

    winner: int | None = None
    scopes: dict[int, trio.CancelScope] = dataclasses.field(default_factory=dict)
    completions: list[exchange.Completion] = dataclasses.field(default_factory=list)
    decided: trio.Event = dataclasses.field(default_factory=trio.Event)


def accept_all(status: int, headers: exchange.Headers) -> exchange.Headers:
    """Pass a reply on unchanged.

    :param status: its status code.
    :param headers: its headers.
    """
    return headers


def read_load(here: site.Site, member: message.Member) -> routing.TargetLoad:
    """Return the load of a target as measured at this node.

    :param here: the node's state.
    :param member: the node of the target.
    """
    service_latencies = here.latencies[member.service]
    latency = service_latencies.targets.get(member.node)
    return routing.TargetLoad(
        in_flight=here.in_flight[member.node],
        latency_s=None if latency is None else latency.mean_s,
        is_bypassed=straggler.is_bypassed(service_latencies, member.node),
    )


def list_others(
    here: site.Site, service: objects.Service, tried: collections.abc.Container[identity.NodeId]
) -> list[identity.NodeId]:
    """Return the untried nodes that could run a request, for a service without keys.

    :param here: the node's state.
    :param service: the service.
    :param tried: the nodes that were tried already.
    """
    if service.is_keyed:
        return []
    return [
        member.node
        for member in here.read_node().members.values()
        if member.service == service.name
        and member.is_target_up
        and not member.is_leaving
        and member.node not in tried
    ]


def find_delay(
    here: site.Site,
    service: objects.Service,
    call: exchange.Call,
    tried: collections.abc.Container[identity.NodeId],
) -> float | None:
    """Return after how many seconds a second attempt starts, or ``None`` for never.

    :param here: the node's state.
    :param service: the service.
    :param call: the request.
    :param tried: the nodes that were tried already.
    """
    return retry.hedge_after(
        is_keyed=service.is_keyed,
        is_idempotent=call.method in service.idempotent_methods,
        is_body_held=call.is_body_buffered,
        has_other_target=bool(list_others(here, service, tried)),
        p95_s=straggler.read_quantile(here.latencies[service.name], 0.95),
        remaining_s=call.deadline_at_s - here.now(),
    )


async def run(
    here: site.Site,
    first: RunAttempt,
    choose_other: collections.abc.Callable[[], RunAttempt | None],
    *,
    after_s: float | None,
) -> exchange.Completion:
    """Run an attempt, and a second one if the first is slow; the first reply is passed on.

    :param here: the node's state.
    :param first: the first attempt.
    :param choose_other: returns the second attempt, or ``None`` if there is none.
    :param after_s: seconds until the second attempt starts; ``None`` for never.
    """
    if after_s is None:
        return await first(filter_reply=accept_all)
    race = Race()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_attempt, race, 0, first)
        with trio.move_on_after(after_s):
            await race.decided.wait()
        other = None
        if race.winner is None and not race.completions and budget.spend(here.hedges):
            other = choose_other()
        if other is not None:
            nursery.start_soon(_run_attempt, race, 1, other)
    answered = [completion for completion in race.completions if completion.is_answered]
    return (answered or race.completions)[-1]


async def _run_attempt(race: Race, number: int, attempt: RunAttempt) -> None:
    """Run one attempt of a race; the first one with a reply wins and cancels the other."""

    def filter_reply(status: int, headers: exchange.Headers) -> exchange.Headers | None:
        if race.winner is not None and race.winner != number:
            return None
        race.winner = number
        for other, scope in race.scopes.items():
            if other != number:
                scope.cancel()
        race.decided.set()
        return headers

    scope = race.scopes[number] = trio.CancelScope()
    with scope:
        race.completions.append(await attempt(filter_reply=filter_reply))
        race.decided.set()

"""Callers of the simulated mesh: lookups, and operations that must run at most once."""

import dataclasses
import itertools
import json
import random

import trio

from bench import history
from bench import world as worlds
from ebonyvalve.process import identity

RESENDS = 3
RESEND_PAUSE_S = 0.05


@dataclasses.dataclass(kw_only=True)
class Load:
    """The state that the callers of one run share.

    ``pause_s`` is the mean pause of a caller between two requests, ``non_idempotent_share`` the
    share of operations that must run at most once, and ``numbers`` makes request ids and paths
    unique.
    """

    world: worlds.World
    random: random.Random
    keys: int = 40
    pause_s: float = 0.1
    non_idempotent_share: float = 0.4
    sent: list[history.SentRequest] = dataclasses.field(default_factory=list)
    numbers: "itertools.count[int]" = dataclasses.field(default_factory=itertools.count)
    is_ended: bool = False
    # Nodes that callers connect to; empty for all nodes.
    nodes: list[str] = dataclasses.field(default_factory=list)


async def run_caller(load: Load) -> None:
    """Send requests one at a time until ``is_ended`` is set.

    :param load: the callers' state.
    """
    await trio.sleep(load.random.random() * load.pause_s)
    while not load.is_ended:
        service = load.random.choice(sorted(load.world.shape.instances))
        key = f"key-{load.random.randrange(load.keys)}"
        if load.random.random() < load.non_idempotent_share:
            await run_operation(load, service, key, "book")
        else:
            await send(load, "GET", service, key, f"look-{next(load.numbers)}")
        await trio.sleep(load.pause_s * (0.5 + load.random.random()))


async def run_operation(load: Load, service: str, key: str, action: str) -> None:
    """Run one operation at most once: get a one-time token, then send until there is an answer.

    The first request has no token; its refusal brings one.

    :param load: the callers' state.
    :param service: the service.
    :param key: the key.
    :param action: what the target does; a number makes the operation's path unique.
    """
    operation = f"{action}-{next(load.numbers)}"
    first = await send(load, "POST", service, key, operation)
    token = first.headers.get("ebonyvalve-token")
    if token is None:
        return
    for _ in range(RESENDS):
        answer = await send(load, "POST", service, key, operation, token=token)
        if answer.verdict == "answered":
            return
        await trio.sleep(RESEND_PAUSE_S)


async def send(
    load: Load, method: str, service: str, key: str, operation: str, *, token: str | None = None
) -> worlds.Answer:
    """Send one request to a node drawn at random, and record it with its answer.

    :param load: the callers' state.
    :param method: the HTTP method.
    :param service: the service.
    :param key: the key.
    :param operation: the last segment of the path, after the key.
    :param token: the one-time token, if any.
    """
    node = load.random.choice(load.nodes or sorted(load.world.hosts))
    request_id = f"r{next(load.numbers)}"
    headers = {"ebonyvalve-request-id": request_id}
    if token is not None:
        headers["ebonyvalve-token"] = token
    start_s = trio.current_time()
    path = f"/{service}/{key}/{operation}"
    answer = await worlds.call(
        load.world, identity.NodeId(node), method, path, body=b"x", headers=headers
    )
    load.sent.append(
        history.SentRequest(
            request_id=request_id,
            operation=operation,
            service=service,
            key=key,
            method=method,
            path=path,
            node=node,
            start_s=start_s,
            end_s=trio.current_time(),
            status=answer.status,
            verdict=answer.verdict,
            reason=answer.headers.get("ebonyvalve-reason", ""),
            echoed=_read_echoed_id(answer),
        )
    )
    return answer


def _read_echoed_id(answer: worlds.Answer) -> str:
    if answer.status != 200 or answer.headers.get("ebonyvalve-reason") == "token-used":
        return ""
    try:
        return str(worlds.read_body(answer)["request"])
    except json.JSONDecodeError:
        return f"an incomplete body of {len(answer.body)} bytes"

"""Defines requests, their rules and the caller's end, independent of the HTTP library."""

import collections.abc
import dataclasses
import enum

from returns import result

from ebonyvalve.process import identity
from ebonyvalve.request import outcome

Headers = list[tuple[bytes, bytes]]


class BodyFailure(enum.Enum):
    """Why a body could not be read to its end."""

    BROKEN = "broken"
    TOO_LARGE = "too-large"


Chunk = result.Result[bytes, BodyFailure]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """How a request may be handled, according to its route.

    ``max_attempts`` bounds the attempts that may have run. ``objective_s`` is the latency goal in
    seconds. ``origin_service`` is the service of the VM from which the request came. ``key_slot``
    is the slot of its key (0 to 65535) if the service's targets hold keys. ``route`` is the name of
    the route. ``lifetime`` is the start of the target for which the request is meant. ``account``
    is the client account of the request, empty for none. ``is_call`` says that a
    request that a target is running waits for this one.
    """

    is_repeatable: bool
    max_attempts: int
    priority: int
    objective_s: float
    origin_service: identity.ServiceId
    key_slot: int | None = None
    route: str = ""
    lifetime: identity.Lifetime = identity.Lifetime("")
    account: identity.AccountId = identity.AccountId("")
    is_call: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Call:
    """A request, as routing and admission see it.

    ``prefix`` is the beginning of the body, buffered so that the request can be fingerprinted and
    sent again; ``is_body_buffered`` says whether it is the whole body. ``length`` is in bytes, or
    ``None`` for a body of unknown length. ``may_have_run`` is set from the first byte sent to a
    target or node until that refuses it. ``arrived_at_s`` is when the kernel received the head,
    which may be some time before it was read; time budgets count from then. Times are seconds on
    the node's clock.
    """

    request_id: str
    service: identity.ServiceId
    key: identity.KeyId
    method: str
    path: str
    headers: Headers
    length: int | None
    deadline_at_s: float
    is_hop: bool
    arrived_at_s: float
    token: str | None = None
    prefix: bytes = b""
    is_body_buffered: bool = False
    may_have_run: bool = False
    rules: Rules | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """The caller's end of a request.

    ``receive`` returns the next part of the body, empty at its end. ``reply`` sends the head of
    the reply, ``write`` a part of its body and ``finish`` its end; they return whether the caller
    is still connected. ``wait_gone`` returns when the caller has closed the connection; ``is_gone``
    says without waiting whether it has. ``is_reply_begun`` says whether any byte of a reply was
    sent. ``is_awaited`` says whether further requests of the connection run whose replies can be
    sent only after this one.
    """

    receive: collections.abc.Callable[[], collections.abc.Awaitable[Chunk]]
    reply: collections.abc.Callable[[int, Headers], collections.abc.Awaitable[bool]]
    write: collections.abc.Callable[[bytes], collections.abc.Awaitable[bool]]
    finish: collections.abc.Callable[[], collections.abc.Awaitable[bool]]
    wait_gone: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    is_gone: collections.abc.Callable[[], bool]
    is_reply_begun: collections.abc.Callable[[], bool] = lambda: False
    is_awaited: collections.abc.Callable[[], bool] = lambda: False


@dataclasses.dataclass(kw_only=True)
class Completion:
    """The result of one attempt.

    ``is_answered`` says whether the caller has had a reply or its beginning; if not, the refusal
    that the caller gets carries ``headers``. ``is_body_open`` says whether the caller's body was
    read beyond the buffered prefix. ``owner`` is the key's owner as named by another node.
    """

    result: outcome.Outcome
    is_answered: bool = False
    is_body_open: bool = False
    headers: Headers = dataclasses.field(default_factory=list)
    owner: identity.NodeId | None = None

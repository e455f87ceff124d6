"""A request and its caller, free of HTTP types."""

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
    """What may be done with a request, as its route says. Times are seconds.

    ``slot`` is its key if the service's targets hold keys. ``origin`` is the service of the VM
    from which it came, ``kind`` its route, ``lifetime`` the target for which it is meant.
    """

    is_repeatable: bool
    max_attempts: int
    priority: int
    objective_s: float
    origin_service: identity.ServiceId
    key_slot: int | None = None
    route: str = ""
    lifetime: identity.Lifetime = identity.Lifetime("")


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request as the decisions see it.

    ``prefix`` is the beginning of the body, held so that the request can be recognised and sent
    again; ``is_whole`` says that it is the whole body. ``length`` is ``None`` for a body of
    unknown length. ``arrived_at_s`` is when the kernel had the head, which may have waited to be
    read; a time budget counts from then.
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
    rules: Rules | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """The caller's end of a request.

    ``receive`` returns the next part of the body, empty at its end. ``reply`` sends the head of
    the answer, ``write`` a part of its body and ``finish`` its end; they return whether the caller
    is still there. ``wait_gone`` returns when the caller has closed the connection, ``find_gone``
    says without waiting whether it has. ``is_begun`` says whether a part of an answer was sent.
    """

    receive: collections.abc.Callable[[], collections.abc.Awaitable[Chunk]]
    reply: collections.abc.Callable[[int, Headers], collections.abc.Awaitable[bool]]
    write: collections.abc.Callable[[bytes], collections.abc.Awaitable[bool]]
    finish: collections.abc.Callable[[], collections.abc.Awaitable[bool]]
    wait_gone: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    is_gone: collections.abc.Callable[[], bool]
    is_reply_begun: collections.abc.Callable[[], bool] = lambda: False


@dataclasses.dataclass(kw_only=True)
class Completion:
    """The end of one attempt.

    ``is_told`` says that the caller has had an answer or its beginning. ``headers`` go with the
    answer that tells the caller otherwise. ``owner`` is the owner that another node named.
    """

    result: outcome.Outcome
    is_answered: bool = False
    is_body_open: bool = False
    headers: Headers = dataclasses.field(default_factory=list)
    owner: identity.NodeId | None = None

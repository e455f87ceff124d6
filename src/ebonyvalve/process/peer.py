"""Types for control requests between nodes, independent of the transport."""

import collections.abc
import enum

from returns import result

from ebonyvalve.process import identity, message


class PeerFailure(enum.Enum):
    """Why a request to another node got no reply.

    With ``REFUSED``, ``OVERLOADED`` and ``TOO_LARGE`` the request was not sent. After any other
    failure the peer may have executed it.
    """

    # No connection could be opened, or the peer did not accept the stream.
    REFUSED = "refused"
    TIMEOUT = "timeout"
    # The stream ended before the reply.
    CLOSED = "closed"
    # The peer could not decode the request, or its reply could not be decoded.
    MALFORMED = "malformed"
    # Too many requests to this peer are in flight.
    OVERLOADED = "overloaded"
    TOO_LARGE = "too-large"


AskResult = result.Result[message.Message, PeerFailure]
# Sends a request: ask(address, request, timeout in seconds).
Ask = collections.abc.Callable[
    [identity.Address, message.Message, float], collections.abc.Awaitable[AskResult]
]
Handle = collections.abc.Callable[
    [message.Message], collections.abc.Coroutine[None, None, message.Message]
]

"""Tests of the platform's headers and of the classification of answers."""

import pytest

from ebonyvalve.platform import dialect
from ebonyvalve.process import identity
from ebonyvalve.request import correlation, delivery
from tests.request import test_origin

SEALED = [(b"x-attempt-id", b"r1"), (b"x-response-seal", b"s")]


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, SEALED, delivery.ReplyKind.ANSWER),
        (500, SEALED, delivery.ReplyKind.ANSWER),
        (404, [], delivery.ReplyKind.ANSWER),
        # A successful answer without a seal doesn't come from the target.
        (200, [(b"x-attempt-id", b"r1")], delivery.ReplyKind.UNTRUSTED),
        # No request asks for a content coding, so such a body doesn't come from the target.
        (200, [*SEALED, (b"content-encoding", b"gzip")], delivery.ReplyKind.UNTRUSTED),
        (503, [(b"x-not-executed", b"1")], delivery.ReplyKind.NOT_RUN),
        (429, [(b"x-not-executed", b"1")], delivery.ReplyKind.NOT_RUN),
        # Another target uses the address now.
        (421, [(b"x-instance-id", b"i-9")], delivery.ReplyKind.WRONG_TARGET),
        # A caller would conclude that nothing has run, which the target says only by the header.
        (408, [], delivery.ReplyKind.UNTRUSTED),
        (429, [], delivery.ReplyKind.UNTRUSTED),
        (503, [], delivery.ReplyKind.UNTRUSTED),
        (503, SEALED, delivery.ReplyKind.UNTRUSTED),
    ],
)
def test_classification(
    status: int, headers: list[tuple[bytes, bytes]], expected: delivery.ReplyKind
) -> None:
    """Guards against taking an answer for "not run" that doesn't say so."""
    assert dialect.classify_reply(status, headers) is expected


async def test_target_receives_its_budget_and_the_caller_service() -> None:
    """Guards against a wrong time budget, target id or caller service on the way to a target.

    The budget is a whole number of milliseconds, and at least 1 even if no time is left.
    """
    call = test_origin.build_call(is_repeatable=True)
    lifetime = identity.Lifetime("i-1@5")
    headers = dict(dialect.build_headers(call, lifetime, 0.7004))
    assert headers[dialect.BUDGET_MS] == b"700"
    assert headers[dialect.EXPECT_TARGET] == b"i-1"
    assert headers[dialect.CALLER_SERVICE] == b"lookup"
    assert dict(dialect.build_headers(call, lifetime, 0.0))[dialect.BUDGET_MS] == b"1"


def test_any_bytes_of_an_attempt_id_come_back() -> None:
    """Guards against a non-ASCII request id that makes an answer look like another request's."""
    headers = [(dialect.REQUEST_ID, b"\xff\xe9")]
    assert (
        dialect.correlate(headers, b"\xff\xe9".decode("latin-1")) is correlation.Correlation.MATCH
    )

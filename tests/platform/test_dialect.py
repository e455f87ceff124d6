"""What the answers of targets mean."""

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
        # A success without the target's seal is not the target's.
        (200, [(b"x-attempt-id", b"r1")], delivery.ReplyKind.UNTRUSTED),
        # Nobody asks for an encoding, so that such a body is not the target's.
        (200, [*SEALED, (b"content-encoding", b"gzip")], delivery.ReplyKind.UNTRUSTED),
        (503, [(b"x-not-executed", b"1")], delivery.ReplyKind.NOT_RUN),
        (429, [(b"x-not-executed", b"1")], delivery.ReplyKind.NOT_RUN),
        # Another target has the address now.
        (421, [(b"x-instance-id", b"i-9")], delivery.ReplyKind.WRONG_TARGET),
        # To callers these promise that nothing has run; without the header, the target does not.
        (408, [], delivery.ReplyKind.UNTRUSTED),
        (429, [], delivery.ReplyKind.UNTRUSTED),
        (503, [], delivery.ReplyKind.UNTRUSTED),
        (503, SEALED, delivery.ReplyKind.UNTRUSTED),
    ],
)
def test_judgements(
    status: int, headers: list[tuple[bytes, bytes]], expected: delivery.ReplyKind
) -> None:
    """Only an answer that says so counts as not run."""
    assert dialect.classify_reply(status, headers) is expected


async def test_target_is_told_its_time_and_who_asks() -> None:
    """In whole milliseconds, and at least one, whatever the caller has sent."""
    call = test_origin.build_call(is_repeatable=True)
    lifetime = identity.Lifetime("i-1@5")
    headers = dict(dialect.build_headers(call, lifetime, 0.7004))
    assert headers[dialect.BUDGET_MS] == b"700"
    assert headers[dialect.EXPECT_TARGET] == b"i-1"
    assert headers[dialect.CALLER_SERVICE] == b"lookup"
    assert dict(dialect.build_headers(call, lifetime, 0.0))[dialect.BUDGET_MS] == b"1"


def test_any_bytes_of_an_attempt_id_come_back() -> None:
    """An id beyond ASCII made the target's own answer look like another request's."""
    headers = [(dialect.REQUEST_ID, b"\xff\xe9")]
    assert (
        dialect.correlate(headers, b"\xff\xe9".decode("latin-1")) is correlation.Correlation.MATCH
    )

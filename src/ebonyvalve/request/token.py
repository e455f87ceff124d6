"""Issues and checks one-time tokens: a request with a token runs at most once."""

import base64
import binascii
import dataclasses
import enum

import msgspec

from ebonyvalve.process import identity, token_memory
from ebonyvalve.request import outcome

NONCE_BYTES = 12
MAX_TEXT = 512


class Standing(enum.Enum):
    """The state of a token according to the memory of a shard."""

    FRESH = "fresh"
    IN_PROGRESS = "in-progress"
    USED = "used"
    EPOCH_LOST = "epoch-lost"
    EXPIRED = "expired"
    MALFORMED = "malformed"
    WRONG_SHARD = "wrong-shard"
    # The token did not run and cannot be remembered at present.
    MEMORY_FULL = "memory-full"
    # The memory was handed over to the next owner, which knows the token.
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """The standing of a token; ``used`` is the recorded outcome if the token was used."""

    standing: Standing
    used: outcome.Outcome | None = None


class Token(msgspec.Struct, frozen=True, array_like=True, kw_only=True, forbid_unknown_fields=True):
    """The fields of a token's text."""

    shard: identity.ShardId
    fence: identity.Fence
    key: bytes
    issued_ms: int
    nonce: bytes


REFUSALS = {
    Standing.EPOCH_LOST: outcome.unknown(outcome.Reason.TOKEN_EPOCH_LOST),
    # The token may have been used before it was dropped from the memory.
    Standing.EXPIRED: outcome.unknown(outcome.Reason.TOKEN_EXPIRED),
    Standing.MALFORMED: outcome.refuse(outcome.Reason.BAD_REQUEST),
    Standing.WRONG_SHARD: outcome.refuse(outcome.Reason.BAD_REQUEST),
    Standing.MEMORY_FULL: outcome.refuse(outcome.Reason.TOKEN_MEMORY_FULL),
    # Only the next owner knows whether the token has been used since.
    Standing.MOVED: outcome.unknown(outcome.Reason.MOVED),
}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Token)


def issue(
    state: token_memory.Memory, *, key: identity.KeyId | None, now: float, random_bytes: bytes
) -> str:
    """Return a new token for a key of the shard.

    A token is bound to its key, so that after a split exactly one memory covers it.

    :param state: the shard's memory.
    :param key: the key, or ``None`` for services without keys.
    :param now: seconds on the node's clock.
    :param random_bytes: ``NONCE_BYTES`` bytes that callers cannot guess.
    """
    return write(
        Token(
            shard=state.shard,
            fence=state.fence,
            key=token_memory.digest_key(key),
            issued_ms=int(now * 1000),
            nonce=random_bytes,
        )
    )


def write(token: Token) -> str:
    """Return the text form of a token.

    :param token: its fields.
    """
    return base64.urlsafe_b64encode(_encoder.encode(token)).rstrip(b"=").decode()


def parse(text: str) -> Token | None:
    """Return the fields of a token, or ``None`` if the text is not a valid token.

    :param text: as sent by a caller.
    """
    if len(text) > MAX_TEXT:
        return None
    try:
        raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        token = _decoder.decode(raw)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
    return token if len(token.nonce) == NONCE_BYTES and write(token) == text else None


def find_issuer(text: str) -> identity.NodeId | None:
    """Return the node that issued a token for a service without keys, or ``None``.

    :param text: as sent by a caller.
    """
    token = parse(text)
    if token is None:
        return None
    _, _, rest = token.shard.partition("/")
    if not rest.startswith(token_memory.NODE_PREFIX):
        return None
    return identity.NodeId(rest[len(token_memory.NODE_PREFIX) :])


def check(
    state: token_memory.Memory, text: str, *, key: identity.KeyId | None, now: float
) -> Finding:
    """Return the standing of a token without changing the memory.

    :param state: the memory of the shard that serves the key at present.
    :param text: as sent by the caller.
    :param key: the key of the request, or ``None`` for services without keys.
    :param now: seconds on the node's clock.
    """
    token = parse(text)
    if token is None:
        return Finding(standing=Standing.MALFORMED)
    tag = token_memory.digest_key(key)
    if token.key != tag or _read_service(token.shard) != _read_service(state.shard):
        return Finding(standing=Standing.WRONG_SHARD)
    token_id = _build_token_id(token)
    if token_id in state.running:
        return Finding(standing=Standing.IN_PROGRESS)
    record = state.used.get(token_id)
    if record is not None:
        return Finding(
            standing=Standing.USED,
            used=outcome.Outcome(
                verdict=outcome.Verdict(record.verdict),
                reason=outcome.Reason.TOKEN_USED,
                status=record.status,
            ),
        )
    if state.is_closed:
        return Finding(standing=Standing.MOVED)
    issued_s = token.issued_ms / 1000
    coverage = token_memory.find_coverage(
        state, token.shard, token.fence, key=tag, issued_s=issued_s
    )
    if coverage is None:
        return Finding(standing=Standing.EPOCH_LOST)
    if token_memory.is_expired(state, coverage, issued_s, now):
        return Finding(standing=Standing.EXPIRED)
    if issued_s > min(now - coverage.offset_s + token_memory.CLOCK_TOLERANCE_S, coverage.closed_s):
        # No token is issued in the future; accepting such a token would extend its lifetime.
        return Finding(standing=Standing.MALFORMED)
    if state.quota.count >= state.quota.limit:
        return Finding(standing=Standing.MEMORY_FULL)
    return Finding(standing=Standing.FRESH)


def begin(
    state: token_memory.Memory, text: str, *, key: identity.KeyId | None, now: float
) -> Finding:
    """Check a token again and, if it is fresh, record that its request runs.

    Only the caller that gets ``FRESH`` may run the request, and must call :func:`finish`.

    :param state: the memory of the shard that serves the key at present.
    :param text: as sent by the caller.
    :param key: the key of the request, or ``None`` for services without keys.
    :param now: seconds on the node's clock.
    """
    finding = check(state, text, key=key, now=now)
    if finding.standing is Standing.MEMORY_FULL and token_memory.forget(state, now):
        finding = check(state, text, key=key, now=now)
    token = parse(text)
    if finding.standing is Standing.FRESH and token is not None:
        state.running.add(_build_token_id(token))
        state.quota.count += 1
    return finding


def finish(state: token_memory.Memory, text: str, result: outcome.Outcome, *, now: float) -> bool:
    """Record the outcome of a request that :func:`begin` admitted; return whether it was recorded.

    A request that did not run leaves its token fresh. After an export nothing is recorded, since
    the exported verdict ``unknown`` can no longer be changed. If the key was split off since, the
    outcome goes to the memory of the key's own shard.

    :param state: the memory passed to :func:`begin`.
    :param text: the token.
    :param result: the outcome.
    :param now: seconds on the node's clock.
    """
    token = parse(text)
    if token is None:
        return False
    token_id = _build_token_id(token)
    if token_id not in state.running:
        state = state.split_memories.get(token_memory.KeyDigest(token.key), state)
    if token_id not in state.running or state.is_closed:
        return False
    state.running.remove(token_id)
    if result.verdict is outcome.Verdict.NOT_RUN:
        state.quota.count -= 1
        return True
    state.used[token_id] = token_memory.Record(
        verdict=result.verdict.value, status=result.status, used_at=now
    )
    return True


def _build_token_id(token: Token) -> token_memory.TokenId:
    return token_memory.TokenId(token.key + token.nonce)


def _read_service(shard: identity.ShardId) -> str:
    return shard.partition("/")[0]

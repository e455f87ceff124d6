"""Client accounts: which account a request belongs to, and whether it may use a route."""

import collections.abc
import dataclasses
import enum
import hashlib
import re
import typing

from ebonyvalve.process import identity

# SHA-256 of an API key. The keys themselves are not kept, logged or shown.
KeyDigest = typing.NewType("KeyDigest", bytes)

SCHEME = b"bearer"
# Visible ASCII characters, which any HTTP client can send in a header.
KEY_PATTERN = re.compile(r"[!-~]{1,256}\Z")


class Refusal(enum.Enum):
    """Why a request may not use a route."""

    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Account:
    """A client account.

    ``priority`` takes precedence over that of the route; ``None`` leaves the route's.
    ``rate_per_s`` is in requests per second and ``burst`` in requests; 0 means no limit.
    """

    name: identity.AccountId
    priority: int | None
    rate_per_s: float
    burst: float
    key_digests: frozenset[KeyDigest]


def is_key(text: str) -> bool:
    """Return whether a text can be used as an API key.

    :param text: the text.
    """
    return KEY_PATTERN.match(text) is not None


def digest(key: bytes) -> KeyDigest:
    """Return the digest by which an API key is looked up.

    :param key: the key.
    """
    return KeyDigest(hashlib.sha256(key).digest())


def index_keys(accounts: collections.abc.Iterable[Account]) -> dict[KeyDigest, Account]:
    """Return the account of each key; of several accounts with the same key, the first.

    :param accounts: the accounts in the order of the configuration.
    """
    by_key: dict[KeyDigest, Account] = {}
    for account in accounts:
        for key_digest in account.key_digests:
            by_key.setdefault(key_digest, account)
    return by_key


def decide(
    by_key: collections.abc.Mapping[KeyDigest, Account],
    authorization: collections.abc.Sequence[bytes],
    *,
    is_public: bool,
) -> Account | Refusal | None:
    """Return the account of a request, why it is refused, or ``None`` if it needs no account.

    :param by_key: the accounts by the digests of their keys.
    :param authorization: the values of the request's ``Authorization`` headers. More than one
        identifies no account, because servers differ in which of them counts.
    :param is_public: whether the route may be used without a key.
    """
    key = _read_key(authorization)
    account = None if key is None else by_key.get(digest(key))
    if account is not None or is_public:
        return account
    return Refusal.NO_KEY if key is None else Refusal.UNKNOWN_KEY


def _read_key(authorization: collections.abc.Sequence[bytes]) -> bytes | None:
    """Return the API key in the values of ``Authorization`` headers, or ``None``."""
    if len(authorization) != 1:
        return None
    scheme, _, key = authorization[0].strip().partition(b" ")
    return key.strip(b" ") or None if scheme.lower() == SCHEME else None


def list_changes(
    before: collections.abc.Mapping[identity.AccountId, Account],
    after: collections.abc.Mapping[identity.AccountId, Account],
) -> collections.abc.Iterator[str]:
    """Yield the changes of accounts that their clients would notice, without their keys.

    :param before: the accounts in force.
    :param after: the accounts that would replace them.
    """
    for name in before.keys() - after.keys():
        yield f"account {name}: goes; its keys would be refused with 401"
    for name, account in after.items():
        old = before.get(name)
        if old is None:
            yield f"account {name}: new, {len(account.key_digests)} keys, {describe_limit(account)}"
            continue
        removed = len(old.key_digests - account.key_digests)
        added = len(account.key_digests - old.key_digests)
        if removed or added:
            yield f"account {name}: keys added {added}, removed {removed}; removed get 401"
        if describe_limit(old) != describe_limit(account):
            yield f"account {name}: {describe_limit(old)} -> {describe_limit(account)}"
        if old.priority != account.priority:
            yield (
                f"account {name}: priority {_describe_priority(old)} -> "
                f"{_describe_priority(account)}"
            )


def describe_limit(account: Account) -> str:
    """Return the limit of an account for operators.

    :param account: the account.
    """
    rate = f"{account.rate_per_s:g} requests/s" if account.rate_per_s else "no limit of the rate"
    burst = f"burst {account.burst:g}" if account.burst else "no burst stated"
    return f"{rate}, {burst}"


def _describe_priority(account: Account) -> str:
    return "of the route" if account.priority is None else str(account.priority)

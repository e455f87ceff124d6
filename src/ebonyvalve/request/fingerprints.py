"""Computes the fingerprints by which requests that crash targets are recognised."""

import hashlib

from ebonyvalve.process import identity

# The HTTP server buffers this much of a body. Bodies that differ only beyond it are distinguished
# by their length.
HEAD_BYTES = 4096
# 128 bits make a collision of two different requests negligible.
DIGEST_BYTES = 16


def compute_fingerprint(
    *,
    service: identity.ServiceId,
    key: identity.KeyId | None,
    method: str,
    path: str,
    length: int | None,
    head: bytes,
) -> identity.Fingerprint:
    """Return the fingerprint of a request.

    :param service: the service.
    :param key: the key, or ``None`` for services without keys.
    :param method: the HTTP method.
    :param path: the path with its query.
    :param length: the body's announced length in bytes, or ``None`` if it is not announced.
    :param head: the start of the body; only the first 4 KiB count.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (service, key or "", method, path, "" if length is None else str(length)):
        raw = field.encode("utf-8", "surrogateescape")
        # Length prefixes keep different lists of fields from giving the same input.
        digest.update(len(raw).to_bytes(4, "big"))
        digest.update(raw)
    digest.update(head[:HEAD_BYTES])
    return identity.Fingerprint(digest.hexdigest())

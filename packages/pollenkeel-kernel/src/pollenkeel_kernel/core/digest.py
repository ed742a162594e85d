"""Checksums of reply bodies; sender and receiver compute them to detect corruption."""

from __future__ import annotations

import xxhash


def body_digest(body: bytes) -> str:
    """Return the digest that a ``DispatchReply`` carries for its body.

    Parameters
    ----------
    body : bytes
        Complete body.

    Returns
    -------
    str
        64-bit xxh3 hash in hexadecimal.
    """
    return xxhash.xxh3_64_hexdigest(body)

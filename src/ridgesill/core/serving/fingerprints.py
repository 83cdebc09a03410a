"""Tells whether two requests are the same one, repeated by its caller.

A repeated request has another id each time. What it keeps is its path, its
body and its caller, who may have many addresses: fronts of different data
centres see different ones.
"""

import hashlib

import attrs

from ridgesill.core.codec import register

# Of the hash of a path, which only decides whether the other one is taken; and
# of that one, by which requests are refused, so that no two may share it.
_TARGET_BYTES = 8
_WHOLE_BYTES = 16


@register
@attrs.frozen
class Fingerprint:
    """What a request and its repetitions have in common.

    Attributes:
        target: keyed hash of path and query alone, which is cheap to take.
        content: keyed hash of method, host, path, query and body.
        caller: the same, with the caller's address.
    """

    target: str
    content: str
    caller: str


@attrs.frozen
class Identity:
    """The parts of a request that its repetitions share.

    Attributes:
        target: path and query.
        caller: the address that it came from, without the port.
    """

    method: bytes
    host: str
    target: bytes
    caller: str
    body: bytes

    def local_hash(self) -> int:
        """Returns a hash of what it says, of use in this process alone."""
        return hash_locally(self.method, self.host, self.target, self.body)


def hash_locally(method: bytes, host: str, target: bytes, body: bytes) -> int:
    """Returns a hash of what a request says, of use in this process alone."""
    return hash((method, host, target, body))


class Fingerprinter:
    """Takes fingerprints.

    Args:
        key: shared by all fronts; without it nobody can make a request that
            is taken for another caller's.
    """

    def __init__(self, key: bytes = b"") -> None:
        self.key = key

    def hash_target(self, target: bytes) -> str:
        """Returns the hash of path and query alone."""
        taken = hashlib.blake2b(target, key=self.key, digest_size=_TARGET_BYTES)
        return taken.hexdigest()

    def compute(self, identity: Identity) -> Fingerprint:
        """Returns a request's fingerprint."""
        taken = hashlib.blake2b(key=self.key, digest_size=_WHOLE_BYTES)
        host = identity.host.encode()
        for part in (identity.method, host, identity.target, identity.body):
            # With its length, so that no two requests run together alike.
            taken.update(len(part).to_bytes(4, "big"))
            taken.update(part)
        content = taken.hexdigest()
        taken.update(identity.caller.encode())
        target = self.hash_target(identity.target)
        return Fingerprint(target, content, taken.hexdigest())

"""Fingerprints that identify a request which its caller repeats.

Each repetition has a new request id. Path, body and caller stay the same, but
the caller may have several addresses: fronts in different data centres see
different ones.
"""

import hashlib

import attrs

from ridgesill.core.codec import register

# Length of the target hash, which only decides whether the content hash is
# computed; of the content hash, which decides whether a request is refused, so
# that collisions must be negligible; and of the hash of a prompt part.
_TARGET_BYTES = 8
_CONTENT_BYTES = 16
_PART_BYTES = 16


@register
@attrs.frozen
class Fingerprint:
    """Keyed hashes that a request and its repetitions have in common.

    Attributes:
        target: hash of path and query only, which is cheap to compute.
        content: hash of method, host, path, query and body.
        caller: hash of the same parts and the caller's address.
    """

    target: str
    content: str
    caller: str


@attrs.frozen
class Identity:
    """The parts of a request that its repetitions share.

    Attributes:
        method: the HTTP method.
        host: the value of the Host header.
        target: path and query.
        caller: the address of the caller, without the port.
        body: the whole body.
        parts: ids of the parts of its prompt that other requests may share.
    """

    method: bytes
    host: str
    target: bytes
    caller: str
    body: bytes

    parts: tuple[str, ...] = ()

    def local_hash(self) -> int:
        """Returns a hash of the content that is only valid in this process."""
        return hash_locally(self.method, self.host, self.target, self.body)


def hash_locally(method: bytes, host: str, target: bytes, body: bytes) -> int:
    """Returns a hash of a request's content, only valid in this process."""
    return hash((method, host, target, body))


class Fingerprinter:
    """Computes fingerprints.

    Args:
        key: secret key of the hashes, shared by all fronts. Without it, nobody
            can construct a request whose fingerprint matches that of another
            caller.
    """

    def __init__(self, key: bytes = b"") -> None:
        self.key = key

    def hash_target(self, target: bytes) -> str:
        """Returns the hash of path and query for `Fingerprint.target`."""
        hasher = hashlib.blake2b(
            target, key=self.key, digest_size=_TARGET_BYTES
        )
        return hasher.hexdigest()

    def hash_part(self, name: str) -> str:
        """Returns the hash of a prompt part's id."""
        hasher = hashlib.blake2b(
            name.encode(), key=self.key, digest_size=_PART_BYTES, person=b"part"
        )
        return hasher.hexdigest()

    def compute(self, identity: Identity) -> Fingerprint:
        """Returns the fingerprint of a request."""
        hasher = hashlib.blake2b(key=self.key, digest_size=_CONTENT_BYTES)
        host = identity.host.encode()
        for part in (identity.method, host, identity.target, identity.body):
            # The length prefix keeps bytes from moving between parts unnoticed.
            hasher.update(len(part).to_bytes(4, "big"))
            hasher.update(part)
        content = hasher.hexdigest()
        hasher.update(identity.caller.encode())
        target = self.hash_target(identity.target)
        return Fingerprint(target, content, hasher.hexdigest())

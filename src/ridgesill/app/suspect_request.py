"""One request, and what is held against it and its repetitions."""

from eliot import log_message

from ridgesill.app.quarantine import Quarantine
from ridgesill.core.fleet.messages import Upstream
from ridgesill.core.serving.fingerprints import (
    Fingerprint,
    Identity,
    hash_locally,
)
from ridgesill.ports.dialect import RequestFacts
from ridgesill.ports.http import HttpRequest


class SuspectRequest:
    """Looks a request up, and tells what becomes of it.

    The hash that all fronts share is taken only where it can matter: most days
    nothing is held against any request.

    Args:
        quarantine: the front's.
        request: as its client sent it.
        facts: what the client says of it.
    """

    def __init__(
        self, quarantine: Quarantine, request: HttpRequest, facts: RequestFacts
    ) -> None:
        self._quarantine = quarantine
        self._request = request
        self._facts = facts
        self._customer = ""

    def set_customer(self, customer: str) -> None:
        """Takes whose request it is; it may come from several addresses."""
        self._customer = customer

    def _identity(self) -> Identity:
        request = self._request
        caller = self._customer or request.peer.rpartition(":")[0]
        return Identity(
            request.method,
            self._facts.host,
            request.target,
            caller,
            request.body,
        )

    def _find(self) -> Fingerprint | None:
        if not self._quarantine.has_suspects():
            return None
        return self._quarantine.find_suspect(self._identity())

    def is_quarantined(self) -> bool:
        """Whether too many upstreams have ended under it."""
        suspect = self._find()
        if suspect is None or not self._quarantine.is_quarantined(suspect):
            return False
        log_message(
            "request:quarantined",
            request=self._facts.request,
            fingerprint=suspect.content,
            ended=sorted(self._quarantine.ended_upstreams(suspect)),
        )
        return True

    def record_cut(self, upstream: Upstream) -> None:
        """Notes that its upstream broke its answer off."""
        self._quarantine.record_cut(upstream, self._identity())

    def record_served(self) -> None:
        """Takes back what is held against it: it was answered."""
        request = self._request
        self._quarantine.record_answered(
            hash_locally(
                request.method, self._facts.host, request.target, request.body
            )
        )
        suspect = self._find()
        if suspect is not None:
            self._quarantine.clear_suspect(suspect)

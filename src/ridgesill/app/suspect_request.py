"""Checks one request against the quarantine and reports its outcome."""

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
    """Checks one request against the quarantine and reports its outcome.

    The fingerprint that all fronts share is computed only while there are
    suspects, which is rare.

    Args:
        quarantine: the quarantine of the front.
        request: as the client sent it.
        facts: what the client states about the request.
    """

    def __init__(
        self, quarantine: Quarantine, request: HttpRequest, facts: RequestFacts
    ) -> None:
        self._quarantine = quarantine
        self._request = request
        self._facts = facts
        self._customer = ""

    def set_customer(self, customer: str) -> None:
        """Sets the customer, who identifies the caller instead of its address.

        A customer may send the same request from several addresses.
        """
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
            # The last part belongs to the request itself or to its session.
            tuple(name for name, _ in self._facts.parts[:-1]),
        )

    def _find_suspect(self) -> Fingerprint | None:
        if not self._quarantine.has_suspects():
            return None
        return self._quarantine.find_suspect(self._identity())

    def is_quarantined(self) -> bool:
        """Whether too many upstreams ended while they served the request."""
        suspect = self._find_suspect()
        if suspect is None or not self._quarantine.is_quarantined(suspect):
            return False
        log_message(
            "request:quarantined",
            request=self._facts.request,
            fingerprint=suspect.content,
            ended=sorted(self._quarantine.ended_upstreams(suspect)),
        )
        return True

    def record_cut(self, upstream: Upstream, *, has_begun: bool) -> None:
        """Records that the upstream's channel ended before the answer did.

        Args:
            upstream: that served the request.
            has_begun: whether the upstream had sent an event.
        """
        self._quarantine.record_cut(
            upstream, self._identity(), has_begun=has_begun
        )

    def record_served(self) -> None:
        """Records that the request was answered, which clears it."""
        request = self._request
        self._quarantine.record_answered(
            hash_locally(
                request.method, self._facts.host, request.target, request.body
            )
        )
        suspect = self._find_suspect()
        if suspect is not None:
            self._quarantine.clear_suspect(suspect)

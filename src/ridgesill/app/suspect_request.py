"""Checks one request against the quarantine and reports its outcome."""

from eliot import log_message

from ridgesill.app.quarantine import Quarantine, hold_part
from ridgesill.app.quarantine_trials import Held
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
        # What the request finds out about, as a trial; None if it is none.
        self._trial: Held | None = None

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
            self._facts.shared_parts,
        )

    def _find_suspect(self) -> Fingerprint | None:
        if not self._quarantine.has_suspects():
            return None
        return self._quarantine.find_suspect(self._identity())

    def quarantine_seconds(self) -> float | None:
        """Returns how long the request is in quarantine; None if it isn't."""
        if self._trial is not None:
            return None
        quarantine = self._quarantine
        part = quarantine.find_harmful_part(self._facts.shared_parts)
        if part is not None:
            held, ended = hold_part(part), part.ends
        else:
            suspect = self._find_suspect()
            if suspect is None or not quarantine.is_quarantined(suspect):
                return None
            held = quarantine.find_held_request(suspect)
            ended = tuple(sorted(quarantine.ended_upstreams(suspect)))
        if quarantine.takes_trial(held):
            self._trial = held
            return None
        log_message(
            "request:quarantined",
            request=self._facts.request,
            fingerprint=held.key,
            is_part=part is not None,
            ended=list(ended),
        )
        return quarantine.seconds_until_trial(held)

    def record_cut(self, upstream: Upstream, *, has_begun: bool) -> None:
        """Records that the upstream's channel ended before the answer did.

        Args:
            upstream: that served the request.
            has_begun: whether the upstream had sent an event.
        """
        self._trial = None
        self._quarantine.record_cut(
            upstream, self._identity(), has_begun=has_begun
        )

    def return_trial(self) -> None:
        """Lets another request be the trial, if this one was it."""
        trial, self._trial = self._trial, None
        if trial is not None:
            self._quarantine.return_trial(trial)

    def record_served(self) -> None:
        """Records that the request was answered, which clears it."""
        request = self._request
        self._trial = None
        self._quarantine.record_parts_answered(self._facts.shared_parts)
        self._quarantine.record_answered(
            hash_locally(
                request.method, self._facts.host, request.target, request.body
            )
        )
        suspect = self._find_suspect()
        if suspect is not None:
            self._quarantine.clear_suspect(suspect)

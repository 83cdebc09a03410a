"""Translates the HTTP headers of clients' requests and upstreams' answers."""

import re
import urllib.parse

import attrs

from ridgesill.core.serving.customers import digest_key
from ridgesill.platform.known_fields import find_unknown_headers
from ridgesill.platform.upstreams import (
    LEAVING_HEADER,
    PlatformEngines,
    is_leaving,
    read_instance,
    read_start,
)
from ridgesill.ports.dialect import (
    EMPTY_UPSTREAM_WORD,
    NORMAL_PRIORITY,
    AppliedState,
    ForwardOptions,
    FrontOptions,
    RequestFacts,
    UpstreamWord,
)
from ridgesill.ports.http import (
    Headers,
    HttpRequest,
    ResponseHead,
    drop_hop_by_hop_headers,
    find_header,
)

_REQUEST_ID_HEADER = b"request-id"
_MODEL_HEADER = b"model"
_TOKEN_COUNTS_HEADER = b"token-counts"
_PROMPT_PARTS_HEADER = b"prompt-prefix"
# Milliseconds that the sender will still wait for the answer.
_DEADLINE_HEADER = b"request-deadline"
_LAST_EVENT_HEADER = b"last-event-id"
# The id of the request that brought the first event of a stream that is taken
# up.
_RESUMES_HEADER = b"resumes"
# The instance that the request is meant for; any other one answers 421.
_EXPECTED_INSTANCE_HEADER = b"expect-instance"
# The instance that sent a 421 answer.
_ANSWERING_INSTANCE_HEADER = b"instance-id"
# The adapter version that the request requires.
_EXPECTED_VERSION_HEADER = b"expect-version"
# 0 (scheduled first) to 9; 5 if the header is missing.
_PRIORITY_HEADER = b"request-priority"
_NOT_RUN_HEADER = b"not-run"
# Made by the upstream that served the request.
_STAMP_HEADER = b"server-stamp"
# The caller's API key; never forwarded to an upstream.
_KEY_HEADER = b"credential"
# The customer that the request belongs to; set by fronts only.
_CUSTOMER_HEADER = b"tenant"
_RETRY_AFTER_HEADER = b"retry-after"
# Requests per second that an upstream accepts from all fronts together.
_LIMIT_HEADER = b"server-limit"
# Requests per second that an upstream can turn away, from all fronts together.
_BRITTLE_HEADER = b"server-brittle"
# Between fronts only: the address of the client, and why a front can't help.
_CLIENT_HEADER = b"ridgesill-client"
_FRONT_REFUSAL_HEADER = b"ridgesill-refusal"
# Between fronts only: in a request the software version that must serve it, in
# an answer the one that does; percent-encoded after a sign that tells an empty
# version from a missing header.
_SOFTWARE_HEADER = b"ridgesill-software"
_SOFTWARE_SIGN = "="
# Between fronts only: what the sender of a request or an answer has applied, as
# `VERSION;index=INDEX`.
_APPLIED_HEADER = b"ridgesill-applied"
_APPLIED_VALUE = re.compile(r"([0-9]{1,18});index=([0-9]{1,18})", re.ASCII)
_OK = 200
_REDIRECT = 300
_MISDIRECTED = 421
_UNAVAILABLE = 503
# An unsigned decimal number; 20 fraction digits cover what programs print for
# a double. Dates and signs are invalid in the headers that are parsed with it.
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,8}(\.[0-9]{1,20})?", re.ASCII)
# Longer Retry-After values of upstreams are cut to this: a mistaken value would
# keep the upstream out of use for that long, and an upstream that needs more
# can repeat the header in its answer to the next request.
_MAX_REST_SECONDS = 60.0
# Lower limits of upstreams are raised to this: with no request sent, no answer
# could lift the limit again.
_MIN_LIMIT_REQUESTS_PER_SECOND = 0.5
# Rejected header values of upstreams are truncated to this length in the log.
_MAX_LOGGED_CHARACTERS = 40
# Longer numbers of clients count as 0; valid milliseconds and token counts have
# far fewer digits.
_MAX_DIGITS = 8
# Headers that only fronts may send to an upstream. Clients' are dropped: with
# them a client could reserve memory and slots of an upstream, or resume another
# client's run.
_RESERVED_HEADERS = frozenset(
    (
        _DEADLINE_HEADER,
        _EXPECTED_INSTANCE_HEADER,
        _EXPECTED_VERSION_HEADER,
        _LAST_EVENT_HEADER,
        _PRIORITY_HEADER,
        _KEY_HEADER,
        _CUSTOMER_HEADER,
        _SOFTWARE_HEADER,
        _APPLIED_HEADER,
        # Uses a slot and memory that were reserved before.
        b"hold",
        # Keeps a run's memory after the run has ended.
        b"pin-duration",
        # The target to which a run's KV cache is copied as it grows.
        b"kv-backup",
        # The KV cache copy from which a run is resumed.
        b"kv-from",
        # The upstream from which KV cache of prompt parts is fetched.
        b"kv-fetch",
    )
)
_CONTENT_LENGTH_HEADER = b"content-length"
# Headers that determine what is run. They are forwarded even if the client's
# Connection header lists them; dropping them would run a different request.
_IDENTITY_HEADERS = frozenset(
    (
        _REQUEST_ID_HEADER,
        _MODEL_HEADER,
        _TOKEN_COUNTS_HEADER,
        _PROMPT_PARTS_HEADER,
        b"host",
    )
)

# Answers without these headers say nothing about the upstream itself, unless
# their status does.
_WORD_HEADERS = frozenset((LEAVING_HEADER, _LIMIT_HEADER, _BRITTLE_HEADER))
_SPEAKING_STATUSES = frozenset((_MISDIRECTED, _UNAVAILABLE))
# Headers of a client's request that are written anew between fronts.
_FRONT_HEADERS = frozenset(
    (_DEADLINE_HEADER, _CLIENT_HEADER, _SOFTWARE_HEADER, _APPLIED_HEADER)
)


class PlatformDialect:
    """Implements `ports.dialect.Dialect`."""

    def __init__(self) -> None:
        self._engines = PlatformEngines()

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Extracts the facts of a client's request from its headers."""
        headers = request.headers
        model, _, adapter = find_header(headers, _MODEL_HEADER).partition("/")
        prompt, answer = _parse_token_counts(
            find_header(headers, _TOKEN_COUNTS_HEADER)
        )
        return RequestFacts(
            request=find_header(headers, _REQUEST_ID_HEADER),
            host=find_header(headers, b"host"),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            answer_tokens=answer,
            parts=_parse_prompt_parts(
                find_header(headers, _PROMPT_PARTS_HEADER)
            ),
            patience=_parse_whole_number(find_header(headers, _DEADLINE_HEADER))
            / 1000,
            last_event=find_header(headers, _LAST_EVENT_HEADER),
            key_digest=_compute_key_digest(headers),
            resumes=find_header(headers, _RESUMES_HEADER),
            software=_read_software(headers) if request.is_from_front else None,
            sender=self.read_applied(headers)
            if request.is_from_front
            else None,
        )

    def write_upstream_request(
        self, request: HttpRequest, options: ForwardOptions
    ) -> HttpRequest:
        """Builds the request that is forwarded to an upstream.

        Drops the client's hop-by-hop and reserved headers, and sets the
        reserved headers that `options` asks for.
        """
        headers = _copy_headers(request, _RESERVED_HEADERS)
        headers += _make_framing_headers(request, options.seconds_left)
        headers.append(
            (
                _EXPECTED_INSTANCE_HEADER,
                read_instance(options.upstream).encode(),
            )
        )
        if options.version:
            headers.append((_EXPECTED_VERSION_HEADER, b"%d" % options.version))
        if options.priority != NORMAL_PRIORITY:
            headers.append((_PRIORITY_HEADER, b"%d" % options.priority))
        if options.customer:
            headers.append((_CUSTOMER_HEADER, options.customer.encode()))
        if options.last_event:
            headers.append((_LAST_EVENT_HEADER, options.last_event.encode()))
        return HttpRequest(
            request.method, request.target, tuple(headers), request.body
        )

    def write_front_request(
        self, request: HttpRequest, options: FrontOptions
    ) -> HttpRequest:
        """Builds the request that is sent on to another front.

        All that the client sent is kept, its key included, but for hop-by-hop
        headers and what has changed since.
        """
        dropped = _FRONT_HEADERS
        if options.last_event:
            dropped = dropped | {_LAST_EVENT_HEADER}
        headers = _copy_headers(request, dropped, keep=_RESERVED_HEADERS)
        headers += _make_framing_headers(request, options.seconds_left)
        headers.append((_CLIENT_HEADER, request.peer.encode()))
        if options.last_event:
            headers.append((_LAST_EVENT_HEADER, options.last_event.encode()))
        if options.software is not None:
            headers += self.make_software_headers(options.software)
        if options.applied is not None:
            headers += self.make_applied_headers(options.applied)
        return HttpRequest(
            request.method, request.target, tuple(headers), request.body
        )

    def make_software_headers(self, software: str) -> Headers:
        """Returns the headers that tell another front which version serves."""
        value = _SOFTWARE_SIGN + urllib.parse.quote(software, safe="")
        return ((_SOFTWARE_HEADER, value.encode()),)

    def read_software(self, head: ResponseHead) -> str | None:
        """Returns which version serves at another front; None if unknown."""
        return _read_software(head.headers)

    def make_applied_headers(self, applied: AppliedState) -> Headers:
        """Returns the headers that tell another front what is applied here."""
        value = b"%d;index=%d" % (applied.version, applied.index)
        return ((_APPLIED_HEADER, value),)

    def read_applied(self, headers: Headers) -> AppliedState | None:
        """Returns what another front has applied; None if it doesn't say."""
        value = _APPLIED_VALUE.fullmatch(find_header(headers, _APPLIED_HEADER))
        return AppliedState(int(value[1]), int(value[2])) if value else None

    def filter_front_answer(self, head: ResponseHead) -> ResponseHead:
        """Returns the head of another front's answer as an upstream sent it."""
        headers = _remove_header(head.headers, _SOFTWARE_HEADER)
        headers = _remove_header(headers, _APPLIED_HEADER)
        return attrs.evolve(head, headers=headers)

    def read_front_request(self, request: HttpRequest) -> HttpRequest:
        """Returns a request as its client sent it to another front."""
        return attrs.evolve(
            request,
            headers=_remove_header(request.headers, _CLIENT_HEADER),
            peer=find_header(request.headers, _CLIENT_HEADER),
            is_from_front=True,
        )

    def read_front_refusal(self, head: ResponseHead) -> str:
        """Returns why another front can't help; empty for other answers."""
        return find_header(head.headers, _FRONT_REFUSAL_HEADER)

    def make_front_refusal_headers(self, reason: str) -> Headers:
        """Returns the headers that tell another front to go elsewhere."""
        return ((_FRONT_REFUSAL_HEADER, reason.encode()),)

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an answer says that the request was not run."""
        return head.status == _MISDIRECTED or bool(
            find_header(head.headers, _NOT_RUN_HEADER)
        )

    def is_unproven(self, head: ResponseHead) -> bool:
        """Whether an answer claims success without the upstream's stamp."""
        return (
            _OK <= head.status < _REDIRECT
            and not find_header(head.headers, _STAMP_HEADER).strip()
        )

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether the upstream is another instance or lacks the artifact."""
        return head.status == _MISDIRECTED

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns what an answer's headers say about the upstream itself."""
        if head.status not in _SPEAKING_STATUSES and not any(
            name in _WORD_HEADERS for name, _ in head.headers
        ):
            return EMPTY_UPSTREAM_WORD
        limit, unread_limit = _read_limit(head)
        brittle, unread_brittle = _read_brittle(head)
        instance = ""
        rest, unread = 0.0, ""
        if head.status == _MISDIRECTED:
            instance = find_header(
                head.headers, _ANSWERING_INSTANCE_HEADER
            ).strip()
        elif head.status == _UNAVAILABLE:
            rest, unread = _read_rest(head)
        leaves = is_leaving(head)
        word = UpstreamWord(
            rest,
            leaves,
            unread,
            instance,
            limit,
            unread_limit,
            brittle,
            unread_brittle,
        )
        return EMPTY_UPSTREAM_WORD if word == EMPTY_UPSTREAM_WORD else word

    def write_start_request(self, upstream: str, address: str) -> HttpRequest:
        """Builds the question which start of an upstream is at an address."""
        return self._engines.write_report_request(upstream, address)

    def read_start(self, body: bytes) -> int | None:
        """Returns the start in a report; 0 if it names none.

        None if the body isn't a report.
        """
        return read_start(body)

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Returns the names of an upstream's headers that are not known."""
        return find_unknown_headers(head)

    def filter_answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the headers of an answer that are passed to the client."""
        return drop_hop_by_hop_headers(head.headers)

    def make_retry_headers(self, after: float) -> Headers:
        """Returns the headers that tell a client when to retry.

        Args:
            after: seconds from now.
        """
        return ((_RETRY_AFTER_HEADER, b"%.2f" % after),)


def _copy_headers(
    request: HttpRequest,
    dropped: frozenset[bytes],
    keep: frozenset[bytes] = frozenset(),
) -> list[tuple[bytes, bytes]]:
    """Returns a client's headers for another process.

    Args:
        request: as the client sent it.
        dropped: names that the other process doesn't get from the client.
        keep: names that it gets even if the client's Connection header lists
            them.
    """
    return [
        (name, value)
        for name, value in drop_hop_by_hop_headers(
            request.headers, keep=_IDENTITY_HEADERS | keep
        )
        if name not in dropped and name != _CONTENT_LENGTH_HEADER
    ]


def _make_framing_headers(
    request: HttpRequest, seconds_left: float
) -> list[tuple[bytes, bytes]]:
    """Returns the headers with the length of a request and its deadline."""
    headers = []
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((_CONTENT_LENGTH_HEADER, b"%d" % len(request.body)))
    milliseconds = max(int(seconds_left * 1000), 1)
    headers.append((_DEADLINE_HEADER, b"%d" % milliseconds))
    return headers


def _read_software(headers: Headers) -> str | None:
    """Reads a software version between fronts; None if there is none."""
    value = find_header(headers, _SOFTWARE_HEADER)
    if not value.startswith(_SOFTWARE_SIGN):
        return None
    return urllib.parse.unquote(value[len(_SOFTWARE_SIGN) :])


def _read_rest(head: ResponseHead) -> tuple[float, str]:
    """Reads for how long an upstream wants no requests (Retry-After).

    Returns:
        Seconds, at most `_MAX_REST_SECONDS`, and the header's value if it is
        invalid or too large; the value is empty otherwise.
    """
    requested = find_header(head.headers, _RETRY_AFTER_HEADER).strip()
    if not requested:
        return 0.0, ""
    seconds = float(requested) if _DECIMAL_NUMBER.fullmatch(requested) else -1.0
    granted = 0.0 <= seconds <= _MAX_REST_SECONDS
    unread = "" if granted else requested[:_MAX_LOGGED_CHARACTERS]
    return min(max(seconds, 0.0), _MAX_REST_SECONDS), unread


def _read_limit(head: ResponseHead) -> tuple[float | None, str]:
    """Reads the request rate limit that an upstream asks for.

    The lowest of several valid limits applies, but at least
    `_MIN_LIMIT_REQUESTS_PER_SECOND`: an upstream that gets no requests sends
    no answer that could lift its limit.

    Returns:
        Requests per second, or None without a valid limit, and a value that is
        invalid or too low; the value is empty if there is none.
    """
    values = [
        value.strip() for name, value in head.headers if name == _LIMIT_HEADER
    ]
    limits = []
    unread = ""
    for value in values:
        text = value.decode("latin-1")
        if _DECIMAL_NUMBER.fullmatch(text):
            limits.append(float(text))
        else:
            unread = text[:_MAX_LOGGED_CHARACTERS] or "nothing"
    if not limits:
        return None, unread
    limit = min(limits)
    granted = max(limit, _MIN_LIMIT_REQUESTS_PER_SECOND)
    return granted, unread or ("" if granted == limit else f"{limit:g}")


def _read_brittle(head: ResponseHead) -> tuple[float | None, str]:
    """Reads how many requests per second an upstream can turn away.

    The lowest of several valid numbers applies. An invalid number counts as 0:
    the upstream says that it is brittle.

    Returns:
        The number, or None without the header, and a value that is invalid;
        the value is empty if there is none.
    """
    values = [
        value.strip().decode("latin-1")
        for name, value in head.headers
        if name == _BRITTLE_HEADER
    ]
    if not values:
        return None, ""
    invalid = [v for v in values if not _DECIMAL_NUMBER.fullmatch(v)]
    if invalid:
        return 0.0, invalid[0][:_MAX_LOGGED_CHARACTERS] or "nothing"
    return min(map(float, values)), ""


def _parse_whole_number(text: str) -> int:
    """Parses a whole number of a client; returns 0 if it is invalid.

    Digits such as superscripts, and very long numbers, would raise in `int` and
    end the request with an internal error.
    """
    is_number = text.isdecimal() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else 0


def _compute_key_digest(headers: Headers) -> bytes:
    """Returns the digest of a caller's key; empty without exactly one key."""
    keys = [value.strip() for name, value in headers if name == _KEY_HEADER]
    if len(keys) != 1 or not keys[0]:
        return b""
    return digest_key(keys[0])


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    return _parse_whole_number(prompt.strip()), _parse_whole_number(
        answer.strip()
    )


def _remove_header(headers: Headers, name: bytes) -> Headers:
    return tuple(header for header in headers if header[0] != name)


def _parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Parses `ID:TOKENS, ...` into the parts of a prompt."""
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name:
            parts.append((name, _parse_whole_number(tokens)))
    return tuple(parts)

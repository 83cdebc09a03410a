"""Clients' requests and upstreams' answers, as the platform words them."""

import re

from ridgesill.core.serving.customers import digest_key
from ridgesill.platform.known_fields import find_unknown_headers
from ridgesill.platform.upstreams import is_leaving, read_instance
from ridgesill.ports.dialect import (
    EMPTY_UPSTREAM_WORD,
    NORMAL_PRIORITY,
    ForwardOptions,
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

_REQUEST_ID = b"request-id"
_MODEL = b"model"
_TOKENS = b"token-counts"
_PARTS = b"prompt-prefix"
# Milliseconds that the sender will still wait.
_DEADLINE = b"request-deadline"
_LAST_EVENT = b"last-event-id"
# The upstream's incarnation that is meant; any other answers 421.
_INSTANCE = b"expect-instance"
# Who answered, where that is another one.
_INSTANCE_ID = b"instance-id"
# Of the adapter, where the request names one.
_VERSION = b"expect-version"
# From 0, which goes first, to 9; 5 without it.
_PRIORITY = b"request-priority"
_NOT_RUN = b"not-run"
# The caller's key, which no upstream gets.
_KEY = b"credential"
# Whose request it is, in this side's words only.
_CUSTOMER = b"tenant"
_RETRY_AFTER = b"retry-after"
# Requests a second that an upstream takes from all callers together.
_LIMIT = b"server-limit"
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Seconds, whole or with a fraction, of as many digits as programs write for
# one; dates and signs are not on the pages.
_SECONDS = re.compile(r"[0-9]{1,8}(\.[0-9]{1,20})?", re.ASCII)
# The longest rest that is granted, in seconds: an upstream that asks for more
# by a slip would be out of use for that long, and one that means it says so
# again to the next request.
_REST_MOST = 60.0
# The lowest limit that is kept, in requests a second.
_LIMIT_LEAST = 0.5
# Of what an upstream asked for and can't be granted, for the log.
_SHOWN_MOST = 40
# Of a number that a client gives: milliseconds and tokens have far fewer.
_DIGITS_MOST = 8
# What only this side may ask of an upstream; a client that could would set
# memory and places aside there, or go on from another client's run.
_RESERVED = frozenset(
    (
        _DEADLINE,
        _INSTANCE,
        _VERSION,
        _LAST_EVENT,
        _PRIORITY,
        _KEY,
        _CUSTOMER,
        # A place and memory that were set aside.
        b"hold",
        # Keeps the memory of a run after its end.
        b"pin-duration",
        # Where a copy of a run's memory is sent as it grows.
        b"kv-backup",
        # The copy that a run goes on from.
        b"kv-from",
        # An upstream to take parts of a prompt from.
        b"kv-fetch",
    )
)
_LENGTH = b"content-length"
# What a request is. A client that lists one of these as concerning its channel
# only would have another request run.
_IDENTITY = frozenset((_REQUEST_ID, _MODEL, _TOKENS, _PARTS, b"host"))


class PlatformDialect:
    """Implements `ports.dialect.Dialect`."""

    def read_request(self, request: HttpRequest) -> RequestFacts:
        """Returns what a client says of its request."""
        headers = request.headers
        model, _, adapter = find_header(headers, _MODEL).partition("/")
        prompt, answer = _counts(find_header(headers, _TOKENS))
        return RequestFacts(
            request=find_header(headers, _REQUEST_ID),
            host=find_header(headers, b"host"),
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            answer_tokens=answer,
            parts=_parts(find_header(headers, _PARTS)),
            patience=_whole(find_header(headers, _DEADLINE)) / 1000,
            last_event=find_header(headers, _LAST_EVENT),
            key_digest=_key_digest(headers),
        )

    def write_upstream_request(
        self, request: HttpRequest, terms: ForwardOptions
    ) -> HttpRequest:
        """Returns the request as it goes to an upstream."""
        kept = [
            (name, value)
            for name, value in drop_hop_by_hop_headers(
                request.headers, keep=_IDENTITY
            )
            if name not in _RESERVED and name != _LENGTH
        ]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            kept.append((b"content-length", b"%d" % len(request.body)))
        milliseconds = max(int(terms.seconds_left * 1000), 1)
        kept.append((_DEADLINE, b"%d" % milliseconds))
        kept.append((_INSTANCE, read_instance(terms.upstream).encode()))
        if terms.version:
            kept.append((_VERSION, b"%d" % terms.version))
        if terms.priority != NORMAL_PRIORITY:
            kept.append((_PRIORITY, b"%d" % terms.priority))
        if terms.customer:
            kept.append((_CUSTOMER, terms.customer.encode()))
        if terms.last_event:
            kept.append((_LAST_EVENT, terms.last_event.encode()))
        return HttpRequest(
            request.method, request.target, tuple(kept), request.body
        )

    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an upstream says that it has not run a request."""
        return head.status == _MISDIRECTED or bool(
            find_header(head.headers, _NOT_RUN)
        )

    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether an upstream lacks what a request asks for."""
        return head.status == _MISDIRECTED

    def read_upstream_word(self, head: ResponseHead) -> UpstreamWord:
        """Returns what an upstream says of itself beside its answer."""
        limit, unread_limit = _read_limit(head)
        instance = ""
        rest, unread = 0.0, ""
        if head.status == _MISDIRECTED:
            instance = find_header(head.headers, _INSTANCE_ID).strip()
        elif head.status == _UNAVAILABLE:
            rest, unread = _read_rest(head)
        leaves = is_leaving(head)
        if limit is None and not (
            leaves or rest or unread or instance or unread_limit
        ):
            return EMPTY_UPSTREAM_WORD
        return UpstreamWord(rest, leaves, unread, instance, limit, unread_limit)

    def find_unknown_headers(self, head: ResponseHead) -> tuple[str, ...]:
        """Returns the words of an upstream that nothing here reads."""
        return find_unknown_headers(head)

    def answer_headers(self, head: ResponseHead) -> Headers:
        """Returns the headers of an answer that the client gets."""
        return drop_hop_by_hop_headers(head.headers)

    def retry_headers(self, after: float) -> Headers:
        """Returns headers that tell a client when to come back."""
        return ((_RETRY_AFTER, b"%.2f" % after),)


def _read_rest(head: ResponseHead) -> tuple[float, str]:
    """Returns the rest that is granted, and what was asked for beyond it."""
    asked = find_header(head.headers, _RETRY_AFTER).strip()
    if not asked:
        return 0.0, ""
    seconds = float(asked) if _SECONDS.fullmatch(asked) else -1.0
    granted = 0.0 <= seconds <= _REST_MOST
    unread = "" if granted else asked[:_SHOWN_MOST]
    return min(max(seconds, 0.0), _REST_MOST), unread


def _read_limit(head: ResponseHead) -> tuple[float | None, str]:
    """Returns the limit that is kept, and what was named beside or beyond it.

    Of several the lowest is kept, and none is so low that nothing would be
    sent: no answer could then take it back.
    """
    named = [value.strip() for name, value in head.headers if name == _LIMIT]
    limits = []
    unread = ""
    for value in named:
        text = value.decode("latin-1")
        if _SECONDS.fullmatch(text):
            limits.append(float(text))
        else:
            unread = text[:_SHOWN_MOST] or "nothing"
    if not limits:
        return None, unread
    limit = min(limits)
    kept = max(limit, _LIMIT_LEAST)
    return kept, unread or ("" if kept == limit else f"{limit:g}")


def _whole(text: str) -> int:
    """Returns a whole number that a client gives; 0 for what is none.

    Digits beyond the ten, and numbers too long to reckon with, would end the
    request with a fault of our own.
    """
    is_number = text.isdecimal() and len(text) <= _DIGITS_MOST
    return int(text) if is_number else 0


def _key_digest(headers: Headers) -> bytes:
    """Returns the digest of a caller's key; empty for none or several."""
    keys = [value.strip() for name, value in headers if name == _KEY]
    if len(keys) != 1 or not keys[0]:
        return b""
    return digest_key(keys[0])


def _counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    return _whole(prompt.strip()), _whole(answer.strip())


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    """Returns the prompt's parts from `ID:TOKENS, ...`."""
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        if name:
            parts.append((name, _whole(tokens)))
    return tuple(parts)

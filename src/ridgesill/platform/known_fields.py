"""The words by which upstreams speak of themselves, and unknown ones.

`docs/reference/upstream-words.md` says of each where it is kept.
"""

from ridgesill.ports.http import ResponseHead

# Headers of answers in which upstreams speak of themselves begin so.
_FAMILY = b"server-"
HEADERS = frozenset((b"server-stamp", b"server-leaving", b"server-limit"))
HEARTBEAT_FIELDS = frozenset(
    (
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_remaining_ms",
        "sequence",
        "stage",
        "models",
        "born",
        "remaining_ms",
        "available",
    )
)
REPORT_FIELDS = frozenset(
    (
        "stage",
        "models",
        "busy_slots",
        "sequence",
        "queued_requests",
        "running_requests",
        "kv_cache_used",
        "kv_cache_total",
        "handle_count",
        "state",
        "remaining_ms",
        "next_token",
        "runs",
        "pinned",
        "held",
        "incoming",
        "available",
        "born",
    )
)
# Of a word that nobody knows, for the log, in characters.
_SHOWN_MOST = 40


def find_unknown_headers(head: ResponseHead) -> tuple[str, ...]:
    """Returns the words of an answer that nothing here reads."""
    unknown = [
        name.decode("latin-1")[:_SHOWN_MOST]
        for name, _ in head.headers
        if name.startswith(_FAMILY) and name not in HEADERS
    ]
    return tuple(unknown)

"""Known header and field names of upstreams; finds unknown ones.

`docs/reference/upstream-words.md` says for each name where its value is used.
"""

from ridgesill.ports.http import ResponseHead

# Prefix of the answer headers that describe the upstream itself.
_UPSTREAM_HEADER_PREFIX = b"server-"
KNOWN_HEADERS = frozenset(
    (b"server-stamp", b"server-leaving", b"server-limit", b"server-brittle")
)
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
# Unknown names are truncated to this length in the log.
_MAX_NAME_CHARACTERS = 40


def find_unknown_headers(head: ResponseHead) -> tuple[str, ...]:
    """Returns the names of an answer's `server-` headers that are not known."""
    unknown = [
        name.decode("latin-1")[:_MAX_NAME_CHARACTERS]
        for name, _ in head.headers
        if name.startswith(_UPSTREAM_HEADER_PREFIX)
        and name not in KNOWN_HEADERS
    ]
    return tuple(unknown)

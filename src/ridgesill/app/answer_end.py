"""Judges whether the body of an upstream's answer is whole.

A body that has neither a length nor chunks ends with its connection, and a
crashed upstream ends its connections too. Such a body is whole only if its
content shows where it ends.
"""

import attrs

from ridgesill.core.completeness import Completeness, judge_json
from ridgesill.core.serving.events import EVENT_ENDS
from ridgesill.ports.http import ResponseHead, find_header

_EVENT_STREAM_TYPE = "text/event-stream"
_JSON_TYPE = "application/json"
_JSON_SUFFIX = "+json"
_OK = 200
# Bytes of a stream that are kept to see how it ends. Longer than an end mark
# with its field name and the end of its event.
_TAIL_BYTES = 64
_MAX_EVENT_END = max(map(len, EVENT_ENDS))
_END_MARKS = (b"data: [DONE]", b"data:[DONE]")


@attrs.frozen
class AnswerEnd:
    """How a body ended.

    Attributes:
        completeness: what is known about the end.
        reason: what shows that the body is broken, or why its completeness is
            unknown; empty if it is whole.
    """

    completeness: Completeness
    reason: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the body is known to be whole."""
        return self.completeness is Completeness.WHOLE

    @property
    def is_broken(self) -> bool:
        """Whether the body is known to be broken off."""
        return self.completeness is Completeness.BROKEN

    @property
    def is_unknown(self) -> bool:
        """Whether the body may be whole or broken off."""
        return self.completeness is Completeness.UNKNOWN


WHOLE = AnswerEnd(Completeness.WHOLE)
PEER_GONE = AnswerEnd(
    Completeness.BROKEN, "its sender can't be reached any more"
)
_UNKNOWN = AnswerEnd(Completeness.UNKNOWN, "ended by its connection")


def _broken(reason: str) -> AnswerEnd:
    return AnswerEnd(Completeness.BROKEN, reason)


class StreamTail:
    """Keeps the last bytes of a stream, which show how it ends.

    Args:
        counts_events: whether to count events, for the log.

    Attributes:
        byte_count: bytes of the stream so far.
        event_count: events of the stream so far; 0 unless they are counted.
    """

    def __init__(self, *, counts_events: bool = False) -> None:
        self.byte_count = 0
        self.event_count = 0
        self._counts_events = counts_events
        self._tail = b""

    def feed(self, data: bytes) -> None:
        """Adds bytes of the stream, in order."""
        if self._counts_events:
            self._count_events(data)
        self.byte_count += len(data)
        if len(data) >= _TAIL_BYTES:
            self._tail = data[-_TAIL_BYTES:]
        else:
            self._tail = (self._tail + data)[-_TAIL_BYTES:]

    def _count_events(self, data: bytes) -> None:
        # An event's end may be split between two parts of the data.
        start = self._tail[-(_MAX_EVENT_END - 1) :]
        self.event_count += sum(
            (start + data).count(terminator) - start.count(terminator)
            for terminator in EVENT_ENDS
        )

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended; comments are no events."""
        text = self._tail.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        rest = text.rpartition(b"\n\n")[2]
        return any(
            line and not line.startswith(b":") for line in rest.split(b"\n")
        )

    @property
    def has_end_mark(self) -> bool:
        """Whether the last event marks the end of a stream of completions."""
        return self._tail.rstrip().endswith(_END_MARKS)


def is_event_stream(head: ResponseHead) -> bool:
    """Whether the answer to a request for a stream consists of events.

    An unframed answer does if it names no type: only its content can show that
    it is broken off.
    """
    content_type = _read_content_type(head)
    if not content_type:
        return head.status == _OK and not head.is_framed
    return content_type == _EVENT_STREAM_TYPE


def judge_stream(
    head: ResponseHead, tail: StreamTail, *, expects_mark: bool
) -> AnswerEnd:
    """Judges the end of an answer to a request for a stream.

    Args:
        head: the head of the answer.
        tail: the end of its body.
        expects_mark: whether whole streams of this upstream have an end mark.
    """
    if not is_event_stream(head):
        return WHOLE if head.is_framed else _UNKNOWN
    if tail.is_inside_event:
        return _broken("it ended inside an event")
    if head.is_framed or tail.has_end_mark:
        return WHOLE
    if not tail.byte_count:
        return _broken("it ended before its first event")
    if expects_mark:
        return _broken("it ended without the end mark of its service")
    return _UNKNOWN


def judge_body(head: ResponseHead, body: bytes) -> AnswerEnd:
    """Judges the end of an answer that has been read to its end."""
    if head.is_framed:
        return WHOLE
    if find_header(head.headers, b"content-encoding"):
        return _UNKNOWN
    content_type = _read_content_type(head)
    if content_type == _EVENT_STREAM_TYPE:
        tail = StreamTail()
        tail.feed(body)
        return judge_stream(head, tail, expects_mark=False)
    if content_type == _JSON_TYPE or content_type.endswith(_JSON_SUFFIX):
        return _judge_json(body)
    return _UNKNOWN


def _judge_json(body: bytes) -> AnswerEnd:
    completeness = judge_json(body)
    if completeness is Completeness.BROKEN:
        return _broken("it ended inside its JSON document")
    return WHOLE if completeness is Completeness.WHOLE else _UNKNOWN


def _read_content_type(head: ResponseHead) -> str:
    value = find_header(head.headers, b"content-type")
    return value.partition(";")[0].strip().lower()

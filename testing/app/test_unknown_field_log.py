"""Tests of the log of header and field names that are unknown."""

import eliot.testing

from ridgesill.app.unknown_field_log import UnknownFieldLog
from ridgesill.ports.telemetry import BufferedTelemetry
from testing.app.front_world import Call, FrontWorld


class CountingTelemetry(BufferedTelemetry):
    """Telemetry that records the names that it counts."""

    def __init__(self) -> None:
        super().__init__()
        self.unknown_field_log: list[str] = []

    def record_unknown_field(self, word: str) -> None:
        """Records the name."""
        self.unknown_field_log.append(word)


def logged(logger: eliot.MemoryLogger) -> list[tuple[str, str]]:
    """Returns the upstream and the name in each logged message."""
    return [
        (message["upstream"], message["word"])
        for message in logger.messages
        if message.get("message_type") == "upstream:unknown_word"
    ]


class TestUnknownFieldLog:
    def test_a_name_is_logged_once_per_incarnation_and_always_counted(
        self,
    ) -> None:
        telemetry = CountingTelemetry()
        unknown_field_log = UnknownFieldLog(lambda: telemetry)
        logger = eliot.MemoryLogger()
        previous = eliot.testing.swap_logger(logger)
        try:
            for start in ("u1#1", "u1#1", "u1#2"):
                unknown_field_log.record(
                    start, "10.0.0.1:80", "answer", ["server-mood"]
                )
        finally:
            eliot.testing.swap_logger(previous)
        assert logged(logger) == [
            ("u1#1", "server-mood"),
            ("u1#2", "server-mood"),
        ]
        assert telemetry.unknown_field_log == ["server-mood"] * 3

    async def test_a_front_logs_unknown_headers_of_answers(
        self, world: FrontWorld
    ) -> None:
        async def answer_with_unknown_header(call: Call) -> None:
            await call.answer(200, b"x", "Server-Stamp: s", "Server-Mood: sad")

        await world.add("u1", answer_with_unknown_header)
        client = await world.open()
        logger = eliot.MemoryLogger()
        previous = eliot.testing.swap_logger(logger)
        try:
            for _ in range(3):
                await client.ask("/safe/x")
        finally:
            eliot.testing.swap_logger(previous)
        assert logged(logger) == [("u1", "server-mood")]

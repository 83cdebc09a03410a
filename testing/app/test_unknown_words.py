"""Tests of the log of words that nothing reads."""

import eliot.testing

from ridgesill.app.unknown_words import UnknownWords
from ridgesill.ports.telemetry import BufferedTelemetry
from testing.app.front_world import Call, FrontWorld


class CountedWords(BufferedTelemetry):
    """Keeps the words that it is told."""

    def __init__(self) -> None:
        super().__init__()
        self.words: list[str] = []

    def record_unknown_field(self, word: str) -> None:
        """Keeps a word."""
        self.words.append(word)


def logged(logger: eliot.MemoryLogger) -> list[tuple[str, str]]:
    """Returns the upstreams and words that were logged."""
    return [
        (message["upstream"], message["word"])
        for message in logger.messages
        if message.get("message_type") == "upstream:unknown_word"
    ]


class TestUnknownWords:
    def test_each_start_is_logged_once_and_each_word_counted(self) -> None:
        counted = CountedWords()
        words = UnknownWords(lambda: counted)
        logger = eliot.MemoryLogger()
        before = eliot.testing.swap_logger(logger)
        try:
            for start in ("u1#1", "u1#1", "u1#2"):
                words.note(start, "10.0.0.1:80", "answer", ["server-mood"])
        finally:
            eliot.testing.swap_logger(before)
        assert logged(logger) == [
            ("u1#1", "server-mood"),
            ("u1#2", "server-mood"),
        ]
        assert counted.words == ["server-mood"] * 3

    async def test_a_front_takes_them_from_answers(
        self, world: FrontWorld
    ) -> None:
        async def say_more(call: Call) -> None:
            await call.answer(200, b"x", "Server-Stamp: s", "Server-Mood: sad")

        await world.add("u1", say_more)
        client = await world.open()
        logger = eliot.MemoryLogger()
        before = eliot.testing.swap_logger(logger)
        try:
            for _ in range(3):
                await client.ask("/safe/x")
        finally:
            eliot.testing.swap_logger(before)
        assert logged(logger) == [("u1", "server-mood")]

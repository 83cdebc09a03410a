"""Words of upstreams that nothing reads are found, and the page lists all.

A header by which upstreams named a limit passed unread, and no log told.
"""

import re
from pathlib import Path

import pytest

from ridgesill.platform.known_fields import (
    HEADERS,
    HEARTBEAT_FIELDS,
    REPORT_FIELDS,
)
from ridgesill.platform.requests import PlatformDialect
from ridgesill.platform.upstreams import PlatformEngines, read_heartbeat
from ridgesill.ports.http import ResponseHead

_PAGE = Path(__file__).parents[2] / "docs" / "reference" / "upstream-words.md"
_HEARTBEAT = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,'
    b'"state":"ready","sequence":1%s}'
)


def read_table(title: str) -> set[str]:
    """Returns the words in the first column of a table of the page."""
    section = _PAGE.read_text().split(f"## {title}\n")[1].split("\n## ")[0]
    rows = [line.split("|")[1] for line in section.splitlines() if "|" in line]
    return {word for row in rows for word in re.findall(r"`([^`]+)`", row)}


class TestUnknownWords:
    def test_a_header_that_nothing_reads_is_found(self) -> None:
        headers = ((b"server-stamp", b"s"), (b"server-mood", b"sad"))
        head = ResponseHead(200, headers)
        assert PlatformDialect().find_unknown_headers(head) == ("server-mood",)

    def test_usual_headers_are_known(self) -> None:
        headers = (
            (b"server-stamp", b"s"),
            (b"server-leaving", b"1"),
            (b"content-length", b"2"),
            (b"x-of-the-service", b"y"),
        )
        head = ResponseHead(200, headers)
        assert PlatformDialect().find_unknown_headers(head) == ()

    @pytest.mark.parametrize(
        ("more", "unknown"), [(b"", ()), (b',"mood":"sad"', ("mood",))]
    )
    def test_a_field_of_a_heartbeat(
        self, more: bytes, unknown: tuple[str, ...]
    ) -> None:
        assert read_heartbeat("u1", _HEARTBEAT % more).unknown == unknown

    def test_a_field_of_a_report(self) -> None:
        report = PlatformEngines().read_report(b'{"sequence":1,"mood":[1]}')
        assert report.unknown == ("mood",)


class TestPage:
    def test_it_lists_the_known_headers(self) -> None:
        listed = {
            word
            for word in read_table("In the heads of answers")
            if word.startswith("server-")
        }
        assert listed == {name.decode() for name in HEADERS}

    def test_it_lists_the_known_fields(self) -> None:
        assert read_table("In heartbeats") - {"draining"} == HEARTBEAT_FIELDS
        assert read_table("In reports") == REPORT_FIELDS

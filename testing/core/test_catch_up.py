"""Tests of contents that are sent in parts."""

import random

import pytest

from ridgesill.core import codec
from ridgesill.core.catch_up import (
    MAX_PART_BYTES,
    MIN_PART_BYTES,
    KeptContent,
    KeptContents,
    PartSize,
    ReceivedContents,
    drop_superseded,
)
from ridgesill.core.commands import PutArtifactVersion, PutRoutes
from ridgesill.core.following import FollowContent
from ridgesill.core.log.messages import Entry
from ridgesill.core.state import State


def make_entry(index: int, command: object) -> Entry:
    """Returns an entry of the log."""
    return Entry(index, 1, codec.encode(command))


def keep_content(contents: KeptContents, upto: int = 9) -> KeptContent:
    """Has a voter keep a content of some 30 KB."""
    document = random.Random(upto).randbytes(30_000)
    entry = make_entry(upto, PutRoutes(upto, document))
    return contents.add(FollowContent(upto, (entry,)), 0.0, 0.0)


class TestDropSuperseded:
    def test_the_state_is_the_same(self) -> None:
        """Guards against a version that is lost with those it replaces."""
        versions = (3, 7, 5, 7, 2)
        entries = [
            make_entry(index, PutRoutes(version, b"%d" % index))
            for index, version in enumerate(versions, 1)
        ]
        entries.append(make_entry(6, PutArtifactVersion("a", 4)))
        kept = drop_superseded(entries)
        assert [entry.index for entry in kept] == [2, 6]
        whole, short = State(), State()
        for entry in entries:
            whole.apply(entry)
        for entry in kept:
            short.apply(entry)
        assert short.dump() == whole.dump()


class TestParts:
    def test_they_form_the_content_whichever_voter_sends_them(self) -> None:
        """Guards against a transfer that begins again with each voter."""
        voters = [KeptContents(), KeptContents()]
        received = ReceivedContents()
        content = None
        parts = 0
        while content is None:
            voter = parts % 2
            name, offset = received.find_next(str(voter))
            kept = keep_content(voters[voter])
            assert not name or kept.name == name
            part = kept.cut_part(offset, 4096, 0.0)
            content = received.add(str(voter), part)
            parts += 1
        assert content.upto == 9
        assert parts == -(-part.total // 4096)

    def test_damaged_parts_are_refused_and_asked_for_anew(self) -> None:
        """Guards against a state that no voter has sent."""
        kept = keep_content(KeptContents())
        kept.data = kept.data[:-1] + b"\0"
        received = ReceivedContents()
        with pytest.raises(codec.DecodeError):
            received.add("v", kept.cut_part(0, 10**6, 0.0))
        assert received.find_next("v") == ("", 0)

    def test_a_part_that_comes_twice_changes_nothing(self) -> None:
        """Guards against a late reply that spoils what has arrived."""
        kept = keep_content(KeptContents())
        received = ReceivedContents()
        for _ in range(2):
            received.add("v", kept.cut_part(0, 4096, 0.0))
        assert received.find_next("v") == (kept.name, 4096)

    def test_contents_that_nobody_asks_for_are_forgotten(self) -> None:
        """Guards against a voter that keeps each content for good."""
        contents = KeptContents()
        kept = keep_content(contents)
        assert contents.find(kept.name, 9.0) is kept
        assert contents.find(kept.name, 20.0) is None

    def test_a_follower_keeps_what_voters_still_send_alone(self) -> None:
        """Guards against a follower that keeps each content for good."""
        contents = KeptContents()
        received = ReceivedContents()
        for upto in range(9, 20):
            kept = keep_content(contents, upto)
            received.add("v", kept.cut_part(0, 4096, 0.0))
        assert len(received._beginnings) == 1


class TestPartSize:
    def test_it_stays_within_its_bounds(self) -> None:
        size = PartSize()
        for _ in range(9):
            size.record_part(size.bytes)
        assert size.bytes == MAX_PART_BYTES
        for _ in range(9):
            size.record_loss()
        assert size.bytes == MIN_PART_BYTES

    def test_a_size_that_was_lost_is_not_tried_again_at_once(self) -> None:
        """Guards against a slow link on which each second part is lost."""
        size = PartSize()
        size.record_loss()
        lost = size.bytes * 2
        for _ in range(20):
            size.record_part(size.bytes)
        assert size.bytes < lost
        for _ in range(20):
            size.record_part(size.bytes)
        assert size.bytes >= lost

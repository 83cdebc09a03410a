"""Tests of reading runners' answers, over loopback."""

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from ridgesill.adapters.runner_http import UNSTARTED_HEADER, HttpRunners
from ridgesill.ports.runner import IncompleteAnswerError, RunnerRequest

_REQUEST = RunnerRequest("GET", "/v1/models", {})


@contextlib.contextmanager
def answer_once(answer: bytes) -> Iterator[str]:
    """Yields the address of a server that answers once and closes."""

    def serve() -> None:
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            with contextlib.suppress(OSError):
                connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as server:
        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        thread.join()


def read(answer: bytes) -> bytes:
    """Returns the body that is read of an answer."""
    with answer_once(answer) as address:
        opened = HttpRunners(5.0).open(address, _REQUEST, repeatable=False)
        return opened.ok_value.read()


class TestUnframedAnswers:
    @pytest.mark.parametrize("body", [b'{"choices": [', b"half", b"12", b""])
    def test_an_answer_that_may_be_cut_is_incomplete(self, body: bytes) -> None:
        with pytest.raises(IncompleteAnswerError):
            read(b"HTTP/1.1 200 OK\r\n\r\n" + body)

    def test_a_complete_json_document_is_an_answer(self) -> None:
        body = b'{"choices": []}'
        assert read(b"HTTP/1.1 200 OK\r\n\r\n" + body) == body

    def test_an_answer_with_a_length_is_complete(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"
        assert read(answer) == b"text"


class TestBodiesWithoutEnd:
    def test_an_answer_is_given_up(self) -> None:
        """Guards against an answer that takes all memory of the process."""
        with pytest.raises(IncompleteAnswerError, match="longer than"):
            read(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 17 * 1024 * 1024)

    @pytest.mark.parametrize("length", [3, 1024 * 1024])
    def test_a_refusal_counts_without_its_body(self, length: int) -> None:
        """Guards against a refusal that is lost with its body."""
        head = (
            "HTTP/1.1 503 Busy\r\nContent-Length: 2000000\r\n"
            f"{UNSTARTED_HEADER}: true\r\n\r\n"
        )
        with answer_once(head.encode() + b"x" * length) as address:
            opened = HttpRunners(5.0).open(address, _REQUEST, repeatable=False)
        assert "not started" in opened.err_value.detail

"""Tests of reading runners' answers, over loopback."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import attrs
import pytest

from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.runner_http import (
    UNSTARTED_HEADER,
    HttpOrders,
    HttpRunners,
)
from ridgesill.core.runners import LOAD, Order
from ridgesill.ports import orders
from ridgesill.ports.runner import IncompleteAnswerError, RunnerRequest

_REQUEST = RunnerRequest("GET", "/v1/models", {})


def _read_request(connection: socket.socket) -> None:
    """Reads a whole request; closing with unread bytes would be a reset."""
    with connection.makefile("rb") as lines:
        length = 0
        while (line := lines.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        lines.read(length)


@contextlib.contextmanager
def answer_once(answer: bytes) -> Iterator[str]:
    """Yields the address of a server that answers once and closes."""

    def serve() -> None:
        connection, _ = server.accept()
        with connection:
            _read_request(connection)
            with contextlib.suppress(OSError):
                connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as server:
        # A test that fails before it connects must not wait for ever.
        server.settimeout(10.0)
        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        thread.join()


def read(answer: bytes) -> bytes:
    """Returns the body that is read of an answer."""
    with answer_once(answer) as address:
        opened = HttpRunners(5.0).open(address, _REQUEST, repeatable=False)
        return opened.ok_value.read()


@contextlib.contextmanager
def answer_together(count: int, half: bytes) -> Iterator[str]:
    """Yields the address of a server that sends some answers side by side.

    None gets its second half before the first halves of all have been taken.

    Args:
        count: number of answers.
        half: of each body.
    """
    halves_sent = threading.Barrier(count)

    def serve() -> None:
        connection, _ = server.accept()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        with connection:
            _read_request(connection)
            with contextlib.suppress(OSError):
                connection.sendall(head % (2 * len(half)) + half)
            halves_sent.wait(10.0)
            with contextlib.suppress(OSError):
                connection.sendall(half)

    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10.0)
        threads = [threading.Thread(target=serve) for _ in range(count)]
        for thread in threads:
            thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        for thread in threads:
            thread.join()


@attrs.define
class FakeHolder:
    """Holds a part of the memory for answers."""

    name: str = "other"
    is_shed: bool = False

    def shed(self) -> None:
        """Records the call."""
        self.is_shed = True


@contextlib.contextmanager
def read_in_two_parts(
    memory: ConnectionMemory, second: bytes
) -> Iterator[Future[bytes]]:
    """Yields an answer's body once 768 KiB have been read; then sends the rest.

    Args:
        memory: counts what is held.
        second: second chunk of the body; empty if it has only one.
    """
    length = 3 * 2**18
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    first = b"%x\r\n%s\r\n" % (length, b"x" * length)
    rest = b"%x\r\n%s\r\n" % (len(second), second) if second else b""
    sends_rest = threading.Event()

    def serve() -> None:
        connection, _ = server.accept()
        with connection:
            _read_request(connection)
            connection.sendall(head + first)
            assert sends_rest.wait(10.0)
            with contextlib.suppress(OSError):
                connection.sendall(rest + b"0\r\n\r\n")

    def read_whole() -> bytes:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        runners = HttpRunners(5.0, memory)
        opened = runners.open(address, _REQUEST, repeatable=False)
        return opened.ok_value.read()

    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        ThreadPoolExecutor(2) as pool,
    ):
        server.settimeout(10.0)
        served, body = pool.submit(serve), pool.submit(read_whole)
        deadline = time.monotonic() + 5.0
        while memory.total < length and time.monotonic() < deadline:
            time.sleep(0.01)
        yield body
        sends_rest.set()
        served.result()


class TestUnframedAnswers:
    @pytest.mark.parametrize("body", [b'{"choices": [', b"half", b"12", b""])
    def test_an_answer_that_may_be_cut_is_incomplete(self, body: bytes) -> None:
        with pytest.raises(IncompleteAnswerError):
            read(b"HTTP/1.1 200 OK\r\n\r\n" + body)

    @pytest.mark.parametrize(
        "header",
        [
            b"Content-Length: abc",
            b"Content-Length: -4",
            b"Content-Length:",
            b"Transfer-Encoding: identity",
            b"Transfer-Encoding: gzip",
        ],
    )
    def test_a_header_that_ends_no_body_does_not_make_it_complete(
        self, header: bytes
    ) -> None:
        """Guards against cut bodies that only look as if they had an end."""
        with pytest.raises(IncompleteAnswerError):
            read(b"HTTP/1.1 200 OK\r\n%s\r\n\r\nhalf" % header)

    @pytest.mark.parametrize(
        "rest",
        [
            b"Content-Length: 4\r\n\r\ntext",
            b"Content-Length: 4, 4\r\n\r\ntext",
            b"Transfer-Encoding: Chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
        ],
    )
    def test_a_framed_body_is_complete(self, rest: bytes) -> None:
        assert read(b"HTTP/1.1 200 OK\r\n" + rest) == b"text"

    @pytest.mark.parametrize("framing", [b"", b"Content-Length: 4\r\n"])
    def test_an_answer_to_head_has_no_body(self, framing: bytes) -> None:
        request = RunnerRequest("HEAD", "/v1/models", {})
        head = b"HTTP/1.1 200 OK\r\n%s\r\n" % framing
        with answer_once(head) as address:
            opened = HttpRunners(5.0).open(address, request, repeatable=False)
            assert opened.ok_value.read() == b""

    def test_a_complete_json_document_is_an_answer(self) -> None:
        body = b'{"choices": []}'
        assert read(b"HTTP/1.1 200 OK\r\n\r\n" + body) == body

    def test_an_answer_with_a_length_is_complete(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"
        assert read(answer) == b"text"


_CUT_HEADS = (
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nContent-Length:",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chu",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Requ",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
)


class TestAnswersCutInsideTheHead:
    """Guards against a head cut short that passes for a whole answer."""

    @pytest.mark.parametrize("repeatable", [False, True])
    @pytest.mark.parametrize("head", _CUT_HEADS)
    def test_a_cut_head_is_no_answer(
        self, head: bytes, repeatable: bool
    ) -> None:
        with answer_once(head) as address:
            opened = HttpRunners(5.0).open(
                address, _REQUEST, repeatable=repeatable
            )
        failure = opened.err_value
        assert failure is not None
        assert failure.step == "request"
        assert not failure.not_run

    @pytest.mark.parametrize("head", _CUT_HEADS)
    def test_the_outcome_of_an_order_is_unknown(self, head: bytes) -> None:
        with answer_once(head) as address:
            order = Order(LOAD, "runner", address, "adapter", 1, 0.0)
            verdict = asyncio.run(HttpOrders().send(order))
        assert verdict == orders.UNKNOWN

    def test_a_chunk_size_cut_after_a_zero_is_no_last_chunk(self) -> None:
        with pytest.raises(IncompleteAnswerError):
            read(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"04\r\ntext\r\n0"
            )

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 204 No Content\r\n\r\n",
            b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        ],
    )
    def test_a_whole_head_without_a_body_is_an_answer(
        self, answer: bytes
    ) -> None:
        assert read(answer) == b""


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


class TestLinesWithoutEnd:
    """Guards against heads and trailers that are read without a bound."""

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\n" + (b"X: " + b"x" * 60000 + b"\r\n") * 90,
            b"HTTP/1.1 100 Continue\r\n\r\n" * 100_000 + b"HTTP/1.1 200 OK\r\n",
        ],
        ids=["headers", "interim responses"],
    )
    def test_a_head_is_given_up(self, head: bytes) -> None:
        with answer_once(head + b"Content-Length: 0\r\n\r\n") as address:
            opened = HttpRunners(5.0).open(address, _REQUEST, repeatable=False)
        assert opened.is_err()

    def test_trailers_are_given_up(self) -> None:
        with pytest.raises(IncompleteAnswerError):
            read(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n" + b"X: x\r\n" * 100_000 + b"\r\n"
            )

    def test_many_small_chunks_are_an_answer(self) -> None:
        answer = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 50_000
            + b"0\r\n\r\n"
        )
        assert read(answer) == b"x" * 50_000


class TestLongAnswers:
    def test_many_at_once_do_not_exceed_the_memory_of_a_node(self) -> None:
        """Guards against a faulty runner whose answers have no end."""
        half = b"x" * 7 * 2**20
        memory = ConnectionMemory(vm_bytes=8 * 2**20)
        runners = HttpRunners(5.0, memory)

        def read_whole(address: str) -> int:
            opened = runners.open(address, _REQUEST, repeatable=False)
            try:
                return len(opened.ok_value.read())
            except IncompleteAnswerError as error:
                assert "memory" in str(error)
                return 0

        with answer_together(3, half) as address, ThreadPoolExecutor(3) as pool:
            lengths = sorted(pool.map(read_whole, [address] * 3))
        assert lengths == [0, 0, 2 * len(half)]
        assert memory.total == 0

    def test_one_that_is_shed_before_its_end_is_incomplete(self) -> None:
        """Guards against a body that is dropped and passes for an empty one."""
        memory = ConnectionMemory(vm_bytes=8 * 2**20)
        with read_in_two_parts(memory, b"") as body:
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            with answer_once(answer % 2**19 + b"x" * 2**19) as address:
                other = HttpRunners(5.0, memory).open(
                    address, _REQUEST, repeatable=False
                )
                assert len(other.ok_value.read()) == 2**19
        with pytest.raises(IncompleteAnswerError, match="memory"):
            body.result()

    def test_one_that_was_shed_costs_no_other(self) -> None:
        """Guards against counting bytes again that have been dropped."""
        memory = ConnectionMemory(vm_bytes=8 * 2**20)
        other = FakeHolder()
        with read_in_two_parts(memory, b"x") as body:
            memory.record(other, 2**19)
            memory.record(other, 7 * 2**17)
        with pytest.raises(IncompleteAnswerError, match="memory"):
            body.result()
        assert not other.is_shed
        assert memory.total == 7 * 2**17

"""Tests of the helpers that start processes and send requests to them."""

import socket
import threading

from testing.processes import free_address, send_request

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TestSendRequest:
    def test_a_request_is_never_sent_on_a_kept_connection(self) -> None:
        """Guards against requests that meet a server's idle timeout.

        A node that answers its second request only on a new connection was
        taken for one that has ended.
        """
        address = free_address()
        host, _, port = address.rpartition(":")
        with socket.create_server((host, int(port))) as server:
            thread = threading.Thread(
                target=_serve_one_request_each, args=(server, 2)
            )
            thread.start()
            url = f"http://{address}/livez"
            statuses = [
                send_request("GET", url, timeout=2).status for _ in range(2)
            ]
            thread.join()
        assert statuses == [200, 200]


def _serve_one_request_each(server: socket.socket, connections: int) -> None:
    """Answers the first request of each connection, without closing it."""
    accepted = []
    server.settimeout(2.0)
    for _ in range(connections):
        connection, _ = server.accept()
        connection.recv(4096)
        connection.sendall(_ANSWER)
        accepted.append(connection)
    for connection in accepted:
        connection.close()

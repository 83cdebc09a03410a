"""What closing a socket tells its peer."""

import socket
import struct

# Values of the socket option SO_LINGER: closing a connection resets it, or ends
# it after all that was written.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


def set_reset_on_close(connected: socket.socket, resets: bool) -> None:
    """Sets whether closing a connection resets it, by whomever it is closed.

    The kernel does so as well for a process that is killed.
    """
    value = _RESET_ON_CLOSE if resets else _END_ON_CLOSE
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

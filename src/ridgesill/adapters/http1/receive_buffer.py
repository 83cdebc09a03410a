"""The buffer into which the connections of an event loop receive."""

# Bytes received at once, and held unread by a connection that is read promptly.
_RECEIVE_BYTES = 16 * 1024


def make_receive_buffer() -> memoryview:
    """Returns a buffer that connections of one event loop can share.

    Each connection copies what it received before another one receives.
    """
    return memoryview(bytearray(_RECEIVE_BYTES))

"""Helpers for addresses in the form `host:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        ValueError: the part after the last colon is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def with_port(address: str, port: int) -> str:
    """Returns the address with its port replaced."""
    host, _ = split_address(address)
    return f"{host}:{port}"

"""Addresses as `host:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def with_port(address: str, port: int) -> str:
    """Returns the address of another port on the same host."""
    host, _ = split_address(address)
    return f"{host}:{port}"

"""Implementations of the ports on sockets, files, logs and metrics."""

"""Everything that touches sockets, files, logs and metrics."""

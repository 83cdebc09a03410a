"""The decision logic, free of I/O: no sockets, no files, no threads."""

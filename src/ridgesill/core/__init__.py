"""Decisions: no sockets, no files, no threads; messages in, messages out."""

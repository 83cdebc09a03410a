"""Tests of HTTP on the event loop."""

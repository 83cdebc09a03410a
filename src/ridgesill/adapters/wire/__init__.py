"""Code generated from peer.proto; see docs/how-to/develop.md."""

"""Code generated from peer.proto; see CONTRIBUTING.md."""

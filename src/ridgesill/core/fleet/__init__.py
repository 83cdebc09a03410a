"""The upstreams: what is known of them, and what they are ordered to hold."""

"""HTTP/1.1 on the event loop: a listener, and channels to upstreams."""

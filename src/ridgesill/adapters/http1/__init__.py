"""HTTP/1.1 server, and client connections to upstreams, on asyncio."""

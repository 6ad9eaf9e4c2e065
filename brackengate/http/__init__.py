"""HTTP/1.1 (RFC 9110, RFC 9112) as state machines without I/O: bytes and times in, commands out."""

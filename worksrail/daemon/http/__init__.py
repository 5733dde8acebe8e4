"""HTTP servers and clients: callers, upstreams and other instances."""

"""Requests over both proxies in simulated time, with scripted upstreams and injected faults."""

"""Calls over both proxies in simulated time, with scripted upstreams and faults in between."""

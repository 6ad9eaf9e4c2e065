"""The role beside an upstream: the way out for requests that begin here, the gate for those that come."""

"""Which pool a request goes to, and the pools: each with upstreams and a decision module of its own."""

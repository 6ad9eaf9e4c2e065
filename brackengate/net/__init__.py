"""The network host: sockets, connections and timers around the balancer's decision module."""

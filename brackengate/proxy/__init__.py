"""The sidecar proxy: egress of requests that begin on its machine, ingress and admission to its upstream."""

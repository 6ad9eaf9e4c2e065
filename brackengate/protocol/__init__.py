"""The protocol between proxies, control replicas and operators: messages, configuration and settings.

Only `json_connection` and `http_api` use sockets.
"""

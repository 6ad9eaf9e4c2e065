"""The control replica: keeps the replicated state and sends it to the proxies."""

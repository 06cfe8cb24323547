"""Networking and time: HTTP client and server, token bucket, future and clock."""

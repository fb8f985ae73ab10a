"""Connections between processes, to callers, endpoints and the store."""

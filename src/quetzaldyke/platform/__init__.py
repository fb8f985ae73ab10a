"""Adapter to the platform: names, record formats and store calls only."""

"""Simulates the platform's services as ordinary processes."""

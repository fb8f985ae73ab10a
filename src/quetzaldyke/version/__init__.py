"""Configuration and placement: versions, storage and propagation."""

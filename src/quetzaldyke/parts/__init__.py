"""Coordination components that can be embedded without the daemons."""

"""The two daemons, entry and sidecar, and the state of a process."""

"""Sub-commands of the executable."""

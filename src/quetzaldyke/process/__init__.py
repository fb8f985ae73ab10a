"""State that lives for one process, and the two daemons."""

"""State that lives for one connection."""

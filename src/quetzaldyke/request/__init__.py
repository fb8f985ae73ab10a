"""State that lives for one request."""

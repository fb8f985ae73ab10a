"""Routes, admits and runs the requests of one entry."""

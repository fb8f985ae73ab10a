"""Records that outlive every process, kept in the key-value service."""

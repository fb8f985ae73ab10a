"""The processes of a platform installation: entry and keeper."""

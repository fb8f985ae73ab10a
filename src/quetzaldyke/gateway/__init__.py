"""The processes of a platform installation: entries and keepers."""

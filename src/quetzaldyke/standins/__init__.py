"""Small fakes of the platform, run as ordinary processes."""

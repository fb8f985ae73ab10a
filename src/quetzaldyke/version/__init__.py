"""State that lives for one version of the configuration or placement."""

"""Settings classes, and reading of YAML documents."""

"""Settings of the daemon: the classes, and the reading of them from YAML."""

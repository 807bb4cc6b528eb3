"""The gateway daemon, which runs on each entry host of the platform."""

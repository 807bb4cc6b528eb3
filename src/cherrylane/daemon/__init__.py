"""The daemon: assembly of its components, start-up and shutdown."""

"""The daemon: its parts put together, its start and its stop."""

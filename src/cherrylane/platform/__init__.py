"""Adapter to the users' platform: its object store, documents, headers and boot file."""

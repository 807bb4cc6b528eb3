"""Gossip protocol between entry hosts: UDP heartbeats with membership, versions and loads."""

"""Relaying of requests to upstreams: attempts, retries, streams and accurate error answers."""

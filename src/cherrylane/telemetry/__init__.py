"""What operators see: logs, decisions and metrics."""

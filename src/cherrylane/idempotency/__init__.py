"""At-most-once execution of non-repeatable requests, across hosts and callers' retries."""

"""cherrylane: a router fleet that sends returning chats back to the engine that has them cached."""

__version__ = "0.1.0"

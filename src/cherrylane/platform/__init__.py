"""The narrow client of the platform's object service, and the kinds kept there."""

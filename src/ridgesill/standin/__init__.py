"""Stand-ins for runners and plain services, for tests and load generation."""

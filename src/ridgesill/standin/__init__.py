"""Stand-ins for runners and plain services, for tests, trials and loads."""

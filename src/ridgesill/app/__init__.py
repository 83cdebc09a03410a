"""The wiring of a process, its settings and its command line."""

"""State of the upstreams and orders for the artifacts that they hold."""

"""Runs the owner's orders to engines under random schedules of faults."""

"""Schedules of faults for the orders to engines, on the real code."""

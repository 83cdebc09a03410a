"""Benchmarks, the demo and the build of the executable.

Each program prints its summary as the last line.
"""

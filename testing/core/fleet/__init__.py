"""Tests of ridgesill.core.fleet."""

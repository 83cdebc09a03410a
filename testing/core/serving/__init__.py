"""Tests of ridgesill.core.serving."""

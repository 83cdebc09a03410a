"""Tests; the modules mirror those under src/ridgesill."""

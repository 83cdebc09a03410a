"""Serves many LoRA adapters on runners that hold only a few at a time."""

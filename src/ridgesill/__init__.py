"""A serving layer for very many LoRA adapters on runners with few slots."""

"""Online and batch inference on one shared fleet."""

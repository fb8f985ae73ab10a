"""Gateway for online and batch inference on one shared fleet."""

"""Batch jobs and files, stored durably in the key-value service."""

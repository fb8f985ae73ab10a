"""Implements the sub-commands of the command line."""

"""Runs many Judges over one pair of pipes, on the line-per-message wire of the bench."""

"""The rollout decisions of all fronts, one concern a file; `pinward/rules.py` puts them together."""

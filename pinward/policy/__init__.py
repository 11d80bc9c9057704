"""The rollout decisions, one concern a file: the loop and its clamp (`loop`), votes (`votes`) and what they rest on."""

"""Stand-ins for what pinward meets, and rigs that fail on purpose; on loopback only, not shipped."""

"""pinward: routes txns while a fleet's software is replaced, and votes on staged releases."""

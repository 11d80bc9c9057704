"""What all fronts may spend together, kept by each alone: further tries (`tries`)."""

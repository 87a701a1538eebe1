"""What the operators' commands do."""

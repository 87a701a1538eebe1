"""Changes of primary: who may order one, whom to promote, and the order itself."""

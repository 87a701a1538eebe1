"""The proxy for routes: settings, the parts that it owns, its life cycle."""

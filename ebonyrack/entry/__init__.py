"""The route proxy: caller connections, primary monitoring and process life cycle."""

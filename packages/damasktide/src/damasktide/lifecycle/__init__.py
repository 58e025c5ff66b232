"""Health, readiness and draining of an instance."""

"""Health, readiness and drain of an instance."""

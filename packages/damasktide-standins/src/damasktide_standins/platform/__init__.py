"""The platform in one process: table service, object store and live list."""

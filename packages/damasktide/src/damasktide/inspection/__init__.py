"""Reports for operators on the state of the system, as recorded in the store."""

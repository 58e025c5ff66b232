"""Stand-in for a backend server that owns keys under fenced grants."""

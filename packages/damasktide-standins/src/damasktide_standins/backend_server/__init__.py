"""Stand-in of a backend server that holds keys under fenced grants."""

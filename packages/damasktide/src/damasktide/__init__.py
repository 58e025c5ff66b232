"""Router for backend servers that hold keys exclusively."""

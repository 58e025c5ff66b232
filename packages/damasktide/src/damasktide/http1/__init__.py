"""HTTP/1.1 over gevent sockets: messages, calls to servers and connections of callers."""

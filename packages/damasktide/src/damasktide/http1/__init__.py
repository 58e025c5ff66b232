"""HTTP/1.1 over gevent sockets: messages, server side for callers, and client side."""

"""Shells around sockets: gRPC, HTTP server and client."""

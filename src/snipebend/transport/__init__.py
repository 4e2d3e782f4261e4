"""Network services and clients of the daemons, over gRPC and HTTP."""

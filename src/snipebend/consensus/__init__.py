"""Log replication: a pure core, its files, its members and leases."""

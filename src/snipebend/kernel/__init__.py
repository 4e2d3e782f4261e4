"""Runtime of a process: services, mailboxes, supervised tasks, a clock."""
